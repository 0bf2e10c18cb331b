package load

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ParseRoute parses "key=value,key=value" with the keys name, path, rate, work,
// reply, body, keyed and deadline. The default name is the path.
func ParseRoute(text string) (Route, error) {
	var r Route
	for part := range strings.SplitSeq(text, ",") {
		key, value, _ := strings.Cut(part, "=")
		if err := r.set(key, value); err != nil {
			return Route{}, errors.Wrapf(err, "route %q: %s", text, part)
		}
	}
	if r.Name == "" {
		r.Name = r.Path
	}
	return r, nil
}

func (r *Route) set(key, value string) (err error) {
	switch key {
	case "name":
		r.Name = value
	case "path":
		r.Path = value
	case "rate":
		r.Rate, err = strconv.ParseFloat(value, 64)
	case "work":
		r.Work, err = time.ParseDuration(value)
	case "deadline":
		r.Deadline, err = time.ParseDuration(value)
	case "reply":
		r.ReplyBytes, err = strconv.Atoi(value)
	case "body":
		r.BodyBytes, err = strconv.Atoi(value)
	case "keyed":
		r.Keyed, err = strconv.ParseBool(value)
	default:
		err = errors.New("unknown key")
	}
	return err
}
