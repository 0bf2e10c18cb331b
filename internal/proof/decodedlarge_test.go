package proof_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
)

// decodedCrowd is how many bodies are decoded at once.
const decodedCrowd = 64

// Guards against callers that end a node by memory: bodies of legal size that take many times as much once they are
// decoded.
func TestNodeSurvivesBodiesThatDecodeLarge(t *testing.T) {
	repeated := func(begin, unit, end string) string {
		return begin + strings.Repeat(unit, (legalBodyBytes-len(begin)-len(end))/len(unit)) + end
	}
	for _, kind := range []struct{ name, body string }{
		{"empty_steps", repeated(`{"steps":[{}`, `,{}`, `]}`)},
		{"smallest_steps", repeated(`{"steps":[{"count":1}`, `,{"count":1}`, `]}`)},
		{"dependencies", repeated(`{"steps":[{"count":1},{"count":1,"depends_on":[0`, `,0`, `]}]}`)},
		{"steps_of_dependencies", repeated(`{"steps":[{"count":1}`, `,{"count":1,"depends_on":[0]}`, `]}`)},
		{"repeated_keys", repeated(`{"steps":[{"count":1}]`, `,"steps":[{},{},{},{},{},{},{},{},{},{},{},{}]`, `}`)},
		{"nested", repeated(`{"pad":[[]`, `,[]`, `],"steps":[{"count":1}]}`)},
		{"escapes", repeated(`{"steps":[{"count":1}],"spec":"`, `\u0001`, `"}`)},
	} {
		t.Run(kind.name, func(t *testing.T) {
			c, n := startCrowdedNode(t)
			pid := n.PID()
			head := fmt.Sprintf("Connection: close\r\nContent-Length: %d", len(kind.body))
			crowd(t, n.Callers, decodedCrowd, func(i int, conn net.Conn) error {
				if _, err := io.WriteString(conn, submissionHead(i, head)+kind.body); err != nil {
					return err
				}
				_, err := io.Copy(io.Discard, conn)
				return err
			})
			checkSurvival(t, c, n, pid)
		})
	}
}
