package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/cinderslip/cinderslip/internal/daemon"
	"github.com/cinderslip/cinderslip/pkg/table"
)

// client calls the operator API of an entry box. base is the server's URL without a path; it is empty if no server was
// given.
type client struct {
	base  string
	token string
	http  *http.Client
}

// baseURL returns the URL of a server that is given as a URL or as an address, or an empty string if none is given.
func baseURL(server string) string {
	if server == "" || strings.Contains(server, "://") {
		return server
	}
	return "http://" + server
}

func newClient(global *globalOptions) (*client, error) {
	c := &client{base: baseURL(global.Server), http: &http.Client{Timeout: global.Timeout}}
	if global.TokenFile == "" {
		return c, nil
	}
	content, err := os.ReadFile(global.TokenFile)
	if err != nil {
		return nil, withCode(exitUsage, fmt.Errorf("reading token file: %w", err))
	}
	c.token = strings.TrimSpace(string(content))
	return c, nil
}

// problemError is a problem document (RFC 9457) that the server sent instead of a result.
type problemError struct{ daemon.Problem }

// Error returns the title and detail of the document, or its title followed by one line for each conflict and finding.
func (e *problemError) Error() string {
	if len(e.Conflicts) == 0 && len(e.Findings) == 0 {
		return fmt.Sprintf("%s: %s", e.Title, e.Detail)
	}
	lines := []string{e.Title + ":"}
	for _, conflict := range e.Conflicts {
		lines = append(lines, fmt.Sprintf("  row %s, column %s: edit %s sets %q, but edit %s by %q set it to %q",
			conflict.Key, conflict.Column, conflict.Edit, conflict.Requested, conflict.OtherEdit, conflict.OtherAuthor, conflict.Current))
	}
	for _, finding := range e.Findings {
		lines = append(lines, "  "+finding.String())
	}
	return strings.Join(lines, "\n")
}

// errNoResponse reports that no complete response to a request was received, so the server may have executed it.
var errNoResponse = errors.New("no response from the server")

// responseLimit is the maximum size of a response, in bytes.
const responseLimit = 64 << 20

// call sends a request, with message as its JSON body unless message is nil, and decodes the response into out unless
// out is nil. A problem document is returned as *problemError with the matching exit code.
func (c *client) call(ctx context.Context, method, path string, header http.Header, message, out any) error {
	if c.base == "" {
		return withCode(exitUsage, errors.New("no server given: set --server ADDRESS or CINDERSLIP_SERVER"))
	}
	var body io.Reader = http.NoBody
	if message != nil {
		content, err := json.Marshal(message)
		if err != nil {
			return fmt.Errorf("encoding request: %w", err)
		}
		body = bytes.NewReader(content)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return withCode(exitUsage, err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return withCode(exitUnavailable, fmt.Errorf("%w: %w", errNoResponse, err))
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return readProblem(response)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, responseLimit)).Decode(out); err != nil {
		return withCode(exitUnavailable, fmt.Errorf("%w: %w", errNoResponse, err))
	}
	return nil
}

func readProblem(response *http.Response) error {
	problem := &problemError{}
	if err := json.NewDecoder(io.LimitReader(response.Body, responseLimit)).Decode(&problem.Problem); err != nil {
		problem.Title, problem.Detail = response.Status, "the response is not a problem document"
	}
	switch response.StatusCode {
	case http.StatusConflict, http.StatusUnprocessableEntity, http.StatusPreconditionFailed:
		return withCode(exitRefused, problem)
	case http.StatusGatewayTimeout:
		return withCode(exitUndecided, problem)
	case http.StatusServiceUnavailable, http.StatusBadGateway:
		return withCode(exitUnavailable, problem)
	}
	return withCode(exitFailed, problem)
}

func (c *client) table(ctx context.Context) (daemon.TableResponse, error) {
	var response daemon.TableResponse
	err := c.call(ctx, http.MethodGet, "/v1/table", nil, nil, &response)
	return response, err
}

func (c *client) status(ctx context.Context) (daemon.StatusResponse, error) {
	var response daemon.StatusResponse
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, nil, &response)
	return response, err
}

func (c *client) history(ctx context.Context) ([]table.EditRecord, error) {
	var records []table.EditRecord
	err := c.call(ctx, http.MethodGet, "/v1/table/history", nil, nil, &records)
	return records, err
}

// editRecord returns the record of an edit; found is false if the table has no such edit.
func (c *client) editRecord(ctx context.Context, id table.EditID) (record table.EditRecord, found bool, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/table/edits/"+url.PathEscape(string(id)), nil, nil, &record)
	var problem *problemError
	if errors.As(err, &problem) && problem.Status == http.StatusNotFound {
		return record, false, nil
	}
	return record, err == nil, err
}

func (c *client) patch(ctx context.Context, base table.Revision, patch daemon.TablePatch) (daemon.PatchResponse, error) {
	var response daemon.PatchResponse
	header := http.Header{"If-Match": []string{fmt.Sprintf("%q", fmt.Sprint(base))}}
	err := c.call(ctx, http.MethodPatch, "/v1/table", header, patch, &response)
	return response, err
}

func (c *client) entries(ctx context.Context, service string) (daemon.EntriesResponse, error) {
	var response daemon.EntriesResponse
	err := c.call(ctx, http.MethodGet, "/v1/entries?service="+url.QueryEscape(service), nil, nil, &response)
	return response, err
}
