package daemon

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/cinderslip/cinderslip/internal/kernel"
	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/member"
	"github.com/cinderslip/cinderslip/pkg/plan"
	"github.com/cinderslip/cinderslip/pkg/table"
)

// maxPatchBytes is the maximum size of the body of an edit.
const maxPatchBytes = 1 << 20

// OperatorServer serves operators over HTTP, on a listener separate from that of callers.
// On agents it serves only the metrics and the health checks.
type OperatorServer struct {
	options OperatorServerOptions
	token   string
	tasks   *kernel.TaskGroup
	server  *http.Server
}

// OperatorServerOptions configures an OperatorServer. View and Table are nil on an agent.
type OperatorServerOptions struct {
	TokenFile  string
	View       *View
	Table      *TableStore
	Metrics    *Metrics
	Clock      clockwork.Clock
	Log        zerolog.Logger
	EntriesTTL time.Duration
	Self       func() member.Record
	// Ready reports whether the process is ready, and the reason if it is not.
	Ready func() (ok bool, reason string)
}

// NewOperatorServer starts serving operators on a listener. It returns an error if it cannot read the token file.
func NewOperatorServer(listener net.Listener, options OperatorServerOptions) (*OperatorServer, error) {
	o := &OperatorServer{options: options, tasks: kernel.NewTaskGroup()}
	if options.TokenFile != "" {
		content, err := os.ReadFile(options.TokenFile)
		if err != nil {
			return nil, fmt.Errorf("reading operator token: %w", err)
		}
		o.token = strings.TrimSpace(string(content))
	}
	router := newEcho()
	router.GET("/healthz", func(e echo.Context) error { return e.String(http.StatusOK, "ok\n") })
	router.GET("/readyz", o.getReady)
	secured := router.Group("", o.authorize)
	secured.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(options.Metrics.registry, promhttp.HandlerOpts{})))
	if options.View != nil {
		secured.GET("/v1/table", o.getTable)
		secured.PATCH("/v1/table", o.patchTable)
		secured.GET("/v1/table/history", o.getHistory)
		secured.GET("/v1/table/edits/:id", o.getEdit)
		secured.GET("/v1/status", o.getStatus)
		secured.GET("/v1/entries", o.getEntries)
	}
	o.server = &http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, IdleTimeout: httpIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	o.tasks.Go(func(context.Context) {
		if err := o.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			options.Log.Error().Err(err).Msg("operator listener failed")
		}
	})
	return o, nil
}

// String returns the service's name.
func (o *OperatorServer) String() string { return "operators" }

// Stop stops accepting requests and waits for those in progress.
func (o *OperatorServer) Stop(ctx context.Context) error {
	err := o.server.Shutdown(ctx)
	return errors.Join(err, o.tasks.Stop(ctx))
}

func (o *OperatorServer) authorize(next echo.HandlerFunc) echo.HandlerFunc {
	return func(e echo.Context) error {
		bearer := strings.TrimPrefix(e.Request().Header.Get("Authorization"), "Bearer ")
		if o.token != "" && subtle.ConstantTimeCompare([]byte(bearer), []byte(o.token)) != 1 {
			e.Response().Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(e.Response(), Problem{Status: http.StatusUnauthorized, Detail: "want the operators' bearer token"})
			return nil
		}
		return next(e)
	}
}

func (o *OperatorServer) getReady(e echo.Context) error {
	if ok, reason := o.options.Ready(); !ok {
		writeProblem(e.Response(), Problem{Status: http.StatusServiceUnavailable, Detail: reason})
		return nil
	}
	return e.String(http.StatusOK, "ready\n")
}

// TableResponse is the current table.
type TableResponse struct {
	Revision table.Revision `json:"revision"`
	Rows     []table.Row    `json:"rows"`
}

func etag(revision table.Revision) string {
	return strconv.Quote(strconv.FormatUint(uint64(revision), 10))
}

func (o *OperatorServer) getTable(e echo.Context) error {
	rows, revision := o.options.View.Rows()
	e.Response().Header().Set("ETag", etag(revision))
	if strings.Contains(e.Request().Header.Get("Accept"), "text/csv") {
		e.Response().Header().Set("Content-Type", "text/csv; charset=utf-8")
		return table.WriteCSV(e.Response(), rows)
	}
	return e.JSON(http.StatusOK, TableResponse{Revision: revision, Rows: rows})
}

// TablePatch is the body of an edit. The If-Match header holds the base revision.
type TablePatch struct {
	ID      table.EditID   `json:"id"`
	Author  string         `json:"author"`
	Reason  string         `json:"reason,omitempty"`
	Changes []table.Change `json:"changes"`
}

// PatchResponse reports the table revision that an edit produced.
type PatchResponse struct {
	Edit     table.EditID   `json:"edit"`
	Revision table.Revision `json:"revision"`
}

func (o *OperatorServer) patchTable(e echo.Context) error {
	edit, problem := readPatch(e)
	if problem != nil {
		writeProblem(e.Response(), *problem)
		return nil
	}
	edited, err := o.options.Table.Edit(e.Request().Context(), edit)
	if err != nil {
		writeProblem(e.Response(), editProblem(edit.ID, err))
		return nil
	}
	record, _ := edited.Find(edit.ID)
	e.Response().Header().Set("ETag", etag(edited.Revision))
	return e.JSON(http.StatusOK, PatchResponse{Edit: edit.ID, Revision: record.Revision})
}

func readPatch(e echo.Context) (table.Edit, *Problem) {
	base, err := strconv.ParseUint(strings.Trim(e.Request().Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		return table.Edit{}, &Problem{
			Status: http.StatusPreconditionRequired, Detail: "want If-Match with the revision that the edit is based on, as GET /v1/table gives it",
		}
	}
	var patch TablePatch
	decoder := json.NewDecoder(http.MaxBytesReader(e.Response(), e.Request().Body, maxPatchBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&patch); err != nil {
		return table.Edit{}, &Problem{Status: http.StatusBadRequest, Detail: "reading the edit: " + err.Error()}
	}
	if patch.ID == "" || patch.Author == "" || len(patch.Changes) == 0 {
		return table.Edit{}, &Problem{Status: http.StatusBadRequest, Detail: "want id, author and at least one of changes"}
	}
	return table.Edit{
		ID: patch.ID, Author: patch.Author, Reason: patch.Reason, Base: table.Revision(base), Changes: patch.Changes,
	}, nil
}

// editProblem converts the error of an edit into the problem for the response.
func editProblem(id table.EditID, err error) Problem {
	var conflict *table.ConflictError
	var findings table.Findings
	problem := Problem{Detail: err.Error(), Edit: id}
	switch {
	case errors.As(err, &conflict):
		problem.Status, problem.Title, problem.Conflicts = http.StatusConflict, "Edit in conflict", conflict.Conflicts
	case errors.As(err, &findings):
		problem.Status, problem.Title, problem.Findings = http.StatusUnprocessableEntity, "Table not valid", findings
	case errors.Is(err, table.ErrBaseAhead):
		problem.Status, problem.Title = http.StatusPreconditionFailed, "Unknown revision"
	case errors.Is(err, ErrUndecided):
		problem.Status, problem.Title = http.StatusGatewayTimeout, "Edit undecided"
		problem.Reason = "undecided"
	case errors.Is(err, provider.ErrUnavailable), errors.Is(err, provider.ErrRateLimited):
		problem.Status, problem.Title = http.StatusServiceUnavailable, "Nothing was changed"
	default:
		problem.Status = http.StatusInternalServerError
	}
	return problem
}

func (o *OperatorServer) getHistory(e echo.Context) error {
	records, err := o.options.Table.History(e.Request().Context())
	if err != nil {
		writeProblem(e.Response(), editProblem("", err))
		return nil
	}
	return e.JSON(http.StatusOK, records)
}

// getEdit returns the record of an edit. Operators use it to find out whether an undecided edit was applied.
func (o *OperatorServer) getEdit(e echo.Context) error {
	id := table.EditID(e.Param("id"))
	record, found, err := o.options.Table.Find(e.Request().Context(), id)
	if err != nil {
		writeProblem(e.Response(), editProblem(id, err))
		return nil
	}
	if !found {
		writeProblem(e.Response(), Problem{Status: http.StatusNotFound, Edit: id, Detail: "no such edit is in the table"})
		return nil
	}
	return e.JSON(http.StatusOK, record)
}

// StatusResponse is an entry box's view of the whole system.
type StatusResponse struct {
	Self    member.Record        `json:"self"`
	Table   table.Revision       `json:"table_revision"`
	Plan    plan.Head            `json:"plan"`
	Rows    []RowStatus          `json:"rows"`
	Boxes   []member.Record      `json:"boxes"`
	Desired []BoxDesiredVersions `json:"wanted"`
}

// RowStatus is a row of the table with its current plan.
type RowStatus struct {
	table.Row
	Plan plan.RowPlan `json:"plan"`
}

// BoxDesiredVersions lists the versions that the plan assigns to a box.
type BoxDesiredVersions struct {
	Box      member.BoxID         `json:"box"`
	Versions []plan.PinnedVersion `json:"weights"`
}

func (o *OperatorServer) getStatus(e echo.Context) error {
	rows, revision := o.options.View.Rows()
	current, head := o.options.View.Plan()
	response := StatusResponse{
		Self: o.options.Self(), Table: revision, Plan: head,
		Rows: []RowStatus{}, Boxes: o.options.View.Members(), Desired: []BoxDesiredVersions{},
	}
	for _, row := range rows {
		response.Rows = append(response.Rows, RowStatus{Row: row, Plan: current.Rows[row.Key()]})
	}
	for _, record := range response.Boxes {
		if assignment, ok := current.Boxes[record.Box]; ok {
			response.Desired = append(response.Desired, BoxDesiredVersions{Box: record.Box, Versions: assignment.Versions})
		}
	}
	return e.JSON(http.StatusOK, response)
}

func (o *OperatorServer) getEntries(e echo.Context) error {
	service := member.Service(e.QueryParam("service"))
	return e.JSON(http.StatusOK, newEntriesResponse(o.options.View, service, o.options.Self().Region, o.options.EntriesTTL))
}
