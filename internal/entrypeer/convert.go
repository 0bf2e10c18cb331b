package entrypeer

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/timestamppb"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	pb "github.com/yuccadrift/yuccadrift/internal/entrypeer/entrypeerpb"
)

// errMalformed reports a message that this build cannot decode.
var errMalformed = errors.New("malformed message of an entry peer")

const idSize = 16

func idOf(b []byte) (id [idSize]byte, err error) {
	if len(b) != idSize {
		return id, errors.Wrapf(errMalformed, "identifier of %d bytes", len(b))
	}
	return [idSize]byte(b), nil
}

func keyProto(k claim.Key) *pb.Key { return &pb.Key{Service: k.Service, Id: k.ID[:]} }

func keyOf(k *pb.Key) (claim.Key, error) {
	id, err := idOf(k.GetId())
	return claim.Key{Service: k.GetService(), ID: id}, err
}

func attemptProto(a claim.Attempt) *pb.Attempt { return &pb.Attempt{Holder: a.Holder, Id: a.ID[:]} }

func attemptOf(a *pb.Attempt) (claim.Attempt, error) {
	id, err := idOf(a.GetId())
	return claim.Attempt{Holder: a.GetHolder(), ID: id}, err
}

// keyAndAttempt decodes the key and the attempt that most calls carry.
func keyAndAttempt(k *pb.Key, a *pb.Attempt) (claim.Key, claim.Attempt, error) {
	key, err := keyOf(k)
	if err != nil {
		return key, claim.Attempt{}, err
	}
	attempt, err := attemptOf(a)
	return key, attempt, err
}

func answerProto(a *claim.Answer) *pb.Answer {
	if a == nil {
		return nil
	}
	out := &pb.Answer{Status: int32(a.Status), Body: a.Body}
	for _, f := range a.Header {
		out.Header = append(out.Header, &pb.HeaderField{Name: f.Name, Value: f.Value})
	}
	return out
}

func answerOf(a *pb.Answer) *claim.Answer {
	if a == nil {
		return nil
	}
	out := &claim.Answer{Status: int(a.GetStatus()), Body: a.GetBody()}
	for _, f := range a.GetHeader() {
		out.Header = append(out.Header, claim.HeaderField{Name: f.GetName(), Value: f.GetValue()})
	}
	return out
}

func timeProto(t time.Time) *timestamppb.Timestamp { return timestamppb.New(t) }

func recordProto(r claim.Record) *pb.Record {
	out := &pb.Record{
		Key:         keyProto(r.Key),
		State:       uint32(r.State),
		Attempt:     attemptProto(r.Attempt),
		Fingerprint: r.Fingerprint,
		Until:       timeProto(r.Until),
		Reason:      string(r.Reason),
		Answer:      answerProto(r.Answer),
	}
	for _, a := range r.Released {
		out.Released = append(out.Released, attemptProto(a))
	}
	return out
}

func recordOf(r *pb.Record) (claim.Record, error) {
	key, attempt, err := keyAndAttempt(r.GetKey(), r.GetAttempt())
	if err != nil {
		return claim.Record{}, err
	}
	if r.GetState() > uint32(claim.StateRan) {
		return claim.Record{}, errors.Wrapf(errMalformed, "state %d", r.GetState())
	}
	out := claim.Record{
		Key:         key,
		State:       claim.State(r.GetState()),
		Attempt:     attempt,
		Fingerprint: r.GetFingerprint(),
		Until:       r.GetUntil().AsTime(),
		Reason:      claim.Reason(r.GetReason()),
		Answer:      answerOf(r.GetAnswer()),
	}
	for _, a := range r.GetReleased() {
		released, err := attemptOf(a)
		if err != nil {
			return claim.Record{}, err
		}
		out.Released = append(out.Released, released)
	}
	return out, nil
}

func floorProto(f claim.Floor) *pb.Floor {
	return &pb.Floor{Owner: f.Owner, Members: f.Members, Until: timeProto(f.Until)}
}

func floorOf(f *pb.Floor) claim.Floor {
	return claim.Floor{Owner: f.GetOwner(), Members: f.GetMembers(), Until: f.GetUntil().AsTime()}
}
