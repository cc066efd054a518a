package direct

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// Directory tells callers which entry boxes to use.
type Directory struct {
	protocol provider.CallerProtocol
	status   *StatusServer
	entries  *EntryBoxes
	self     member.Record
	ttl      time.Duration
}

// maxDirectoryAddresses bounds the addresses of one answer.
const maxDirectoryAddresses = 64

// startDirectory answers where callers should go, and whether this box is ready.
func (p *Process) startDirectory() error {
	d := &Directory{
		protocol: p.options.Platform.Callers, status: p.status, entries: p.entries, self: p.membership.own,
		ttl: time.Duration(p.settings.Direct.DirectoryTTL),
	}
	router := newRouter()
	router.GET(d.protocol.DirectoryPath, d.resolve)
	service, err := p.serveHTTP("directory", p.settings.Listen.Directory, router, maxInternalHeaderBytes)
	if err != nil {
		return err
	}
	if err := p.services.Register(service); err != nil {
		return err
	}
	readiness := newRouter()
	readiness.GET(d.protocol.ReadinessPath, d.serveReadiness)
	if service, err = p.serveHTTP("readiness", p.settings.Listen.Readiness, readiness, maxInternalHeaderBytes); err != nil {
		return err
	}
	p.callerServer.tasks.Go(p.callerServer.watchReady(p.status))
	return p.services.Register(service)
}

// serveReadiness answers the platform's question.
func (d *Directory) serveReadiness(c echo.Context) error {
	if !d.status.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// resolve answers with the ready entry boxes of the caller's region, or with all
// of them if there is none.
func (d *Directory) resolve(c echo.Context) error {
	question := d.protocol.ReadDirectoryQuery(c.Request())
	boxes := d.entries.Ready()
	if d.status.Ready() {
		boxes = append(boxes, d.self)
	}
	var near, all []member.Address
	for _, box := range boxes {
		all = append(all, box.Callers)
		if box.Region == question.Region {
			near = append(near, box.Callers)
		}
	}
	chosen := all
	if len(near) >= minRegionalBoxes {
		chosen = near
	}
	if len(chosen) == 0 {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return c.JSON(http.StatusOK, d.protocol.NewDirectoryResponse(chosen[:min(len(chosen), maxDirectoryAddresses)], d.ttl))
}

// minRegionalBoxes is how many entry boxes of a caller's region suffice for it.
const minRegionalBoxes = 2
