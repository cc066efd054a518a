package direct_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/cinderslip/cinderslip/internal/direct"
)

// cmdCheckListedLimit checks the rate limit that an entry box lists for a server, and that requests to it are
// counted:
//
//	check-listed-limit entry-1 plain-1 1.9
func (w *testDeployment) cmdCheckListedLimit(args []string) error {
	url := "http://" + w.settingsByName[args[0]].Listen.Metrics + direct.RateLimitsPath
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	var limited []direct.LimitedServer
	if err := json.NewDecoder(response.Body).Decode(&limited); err != nil {
		return err
	}
	for _, server := range limited {
		if server.Server != w.servers[args[1]].id {
			continue
		}
		if fmt.Sprint(server.PerSecond) != args[2] || server.Since.IsZero() || server.From == "" || server.Sent+server.SentByOthers == 0 {
			return fmt.Errorf("unexpected rate limit state: %+v", server)
		}
		return nil
	}
	return errors.New("server is not listed with a rate limit")
}
