package proof_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/yuccadrift/yuccadrift/platform/standin"
)

// Guards against callers that end an owner's node by the memory of jobs that it has accepted: each has the most
// steps that a body has room for.
func TestNodeSurvivesJobsOfManySteps(t *testing.T) {
	const acceptedJobs = 30
	c, n := startCrowdedNode(t)
	pid := n.PID()
	for range acceptedJobs {
		c.Call(n, http.MethodPost, standin.QueuePrefix("booking")+string(c.NewID()), manySteps())
	}
	checkSurvival(t, c, n, pid)
}

// manySteps returns a valid job in a body of legal size that has the most steps.
func manySteps() string {
	const step = `,{"count":1}`
	return `{"steps":[{"count":1}` + strings.Repeat(step, (legalBodyBytes-100)/len(step)) + `]}`
}
