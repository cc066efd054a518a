package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cinderslip/cinderslip/pkg/table"
)

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Conflicts, Findings, Edit and Reason are extension members.
	Conflicts []table.Conflict `json:"conflicts,omitempty"`
	Findings  table.Findings   `json:"findings,omitempty"`
	Edit      table.EditID     `json:"edit,omitempty"`
	Reason    string           `json:"reason,omitempty"`
}

const problemType = "application/problem+json"

// writeProblem responds with a problem document. The type defaults to about:blank and the title
// to the text of the status code.
func writeProblem(w http.ResponseWriter, problem Problem) {
	if problem.Type == "" {
		problem.Type = "about:blank"
	}
	if problem.Title == "" {
		problem.Title = http.StatusText(problem.Status)
	}
	w.Header().Set("Content-Type", problemType)
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
}

// setRetryAfter sets the Retry-After header to wait in whole seconds, rounded up, at least 1.
func setRetryAfter(w http.ResponseWriter, wait time.Duration) {
	seconds := int64((wait + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
}
