package front

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/returntime"
)

// response is the response to a caller.
type response struct {
	status        int
	body          []byte
	reason        string           // for the log
	retryAfter    time.Duration    // 0 if the request should not be sent again
	cause         returntime.Cause // of a refusal, 0 otherwise
	delay         time.Duration    // when a refused request may be of use again, 0 if that is unknown
	challengesKey bool             // the request needs a valid key
	aborted       bool             // there is no response, the connection was closed for others
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

func errorResponse(status int, reason string) response {
	body, err := json.Marshal(errorBody{Error: reason})
	if err != nil {
		body = nil // a string always encodes
	}
	return response{status: status, body: body, reason: reason}
}

// retryableResponse returns a refusal that tells the caller when to send its request again.
func retryableResponse(cause returntime.Cause, reason string) response {
	res := errorResponse(http.StatusServiceUnavailable, reason)
	res.cause = cause
	return res
}

// uncertainResponse returns a response that promises nothing of the request, and tells the caller when
// to send it again.
func uncertainResponse(cause returntime.Cause, reason string) response {
	res := errorResponse(http.StatusGatewayTimeout, reason)
	res.cause = cause
	return res
}

// accepted is the response to a submission or cancellation that is stored.
func accepted() response { return response{status: http.StatusOK, body: []byte("{}")} }

// wholeSeconds rounds d up to whole seconds, the unit of the Retry-After header.
func wholeSeconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }
