package direct

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/cinderslip/cinderslip/internal/provider"
	"github.com/cinderslip/cinderslip/pkg/fleet"
	"github.com/cinderslip/cinderslip/pkg/member"
)

// Directory resolves callers to entry boxes and serves the readiness probe of the platform.
type Directory struct {
	protocol provider.CallerProtocol
	status   *StatusServer
	entries  *EntryBoxes
	view     func() *fleet.View
	self     member.Record
	ttl      time.Duration
}

// maxDirectoryAddresses bounds the number of addresses in one response.
const maxDirectoryAddresses = 64

// startDirectory starts the HTTP services for directory queries and for readiness probes.
func (p *Process) startDirectory() error {
	d := &Directory{
		protocol: p.options.Platform.Callers, status: p.status, entries: p.entries, view: p.fleetState.View, self: p.membership.own,
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

// serveReadiness responds to a readiness probe: 200 if the box accepts requests, else 503.
func (d *Directory) serveReadiness(c echo.Context) error {
	if !d.status.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// resolve responds with ready entry boxes of the caller's region in random order. If the region has fewer than
// minRegionalBoxes, the response has boxes of all regions that the routes of the host allow; if none is ready, it is
// 503.
func (d *Directory) resolve(c echo.Context) error {
	query := d.protocol.ReadDirectoryQuery(c.Request())
	boxes := d.entries.Ready()
	if d.status.Ready() {
		boxes = append(boxes, d.self)
	}
	isAllowed := directoryRegions(d.view(), query.Host, query.Region)
	var local, all []member.Address
	for _, box := range boxes {
		if !isAllowed(box.Region) {
			continue
		}
		all = append(all, box.Callers)
		if box.Region == query.Region {
			local = append(local, box.Callers)
		}
	}
	chosen := all
	if len(local) >= minRegionalBoxes {
		chosen = local
	}
	if len(chosen) == 0 {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return c.JSON(http.StatusOK, d.protocol.NewDirectoryResponse(chosen[:min(len(chosen), maxDirectoryAddresses)], d.ttl))
}

// minRegionalBoxes is the minimum number of ready entry boxes in a caller's region for a response without other
// regions.
const minRegionalBoxes = 2
