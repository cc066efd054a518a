package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead reports bytes that are no head of a response by RFC 9112, or one whose framing can't be trusted.
var ErrInvalidHead = errors.New("head of the response is invalid")

// The statuses of responses (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// validateHead returns an error for a head that http.ReadResponse accepts although it is none: it keeps names with a blank, joins lines
// that begin with one to the line before, and takes other protocols and any number as the status.
func validateHead(head []byte) error {
	first, rest, _ := strings.Cut(string(head), "\n")
	if !isStatusLine(strings.TrimSuffix(first, "\r")) {
		return fmt.Errorf("%w: status line %.80q", ErrInvalidHead, first)
	}
	isOld := strings.HasPrefix(first, "HTTP/1.0")
	for line := range strings.SplitSeq(rest, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			return nil
		}
		name, value, hasColon := strings.Cut(line, ":")
		if !hasColon || !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(value) {
			return fmt.Errorf("%w: line %.80q", ErrInvalidHead, line)
		}
		if isOld && strings.EqualFold(name, "Transfer-Encoding") {
			// net/http ignores it, and would take the chunks for the body (RFC 9112, section 6.1).
			return fmt.Errorf("%w: transfer encoding in HTTP/1.0", ErrInvalidHead)
		}
	}
	return nil
}

// isStatusLine reports whether a line is a status line (RFC 9112, section 4), with or without a reason.
func isStatusLine(line string) bool {
	rest, ok := strings.CutPrefix(line, "HTTP/1.")
	if !ok || len(rest) < len("1 200") || rest[0] != '0' && rest[0] != '1' || rest[1] != ' ' {
		return false
	}
	status, err := strconv.ParseUint(rest[2:5], 10, 16)
	if err != nil || status < minStatus || status > maxStatus {
		return false
	}
	reason := rest[5:]
	return reason == "" || reason[0] == ' ' && httpguts.ValidHeaderFieldValue(reason)
}

// CheckResponse returns an error for a response of net/http whose status is none or whose header has names or values that are none.
func CheckResponse(response *http.Response) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus || response.ProtoMajor > 1 {
		return fmt.Errorf("%w: %.80q", ErrInvalidHead, response.Proto+" "+response.Status)
	}
	for name, values := range response.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: name %.80q", ErrInvalidHead, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: value of %s", ErrInvalidHead, name)
			}
		}
	}
	return nil
}

// NewHTTPClient returns a client of net/http that takes nothing for a response that is none, and follows no redirect: the
// address of a service or of a server comes from the configuration and the store only.
func NewHTTPClient(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     CheckedTransport{transport},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// CheckedTransport is an http.RoundTripper whose responses CheckResponse has accepted.
type CheckedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper. The error of a response that is none says so.
func (t CheckedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
