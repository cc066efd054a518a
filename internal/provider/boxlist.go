package provider

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cinderslip/cinderslip/pkg/member"
)

// ListedState is the state of a box in the box list.
type ListedState string

// States of a listed box.
const (
	ListedLive    ListedState = "live"
	ListedLeaving ListedState = "leaving"
)

// ListedBox is one entry of the platform's box list, which lags behind the actual state of the boxes.
type ListedBox struct {
	Box           member.BoxID
	Role          member.Role
	Region        member.Region
	FailureDomain member.FailureDomain
	PeerAddress   member.Address
	State         ListedState
}

// TargetGroup is one element of a document in the HTTP service discovery format of Prometheus.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Labels of a target group in the box list.
const (
	LabelBox           = "box"
	LabelRole          = "role"
	LabelRegion        = "region"
	LabelFailureDomain = "failure_domain"
	LabelState         = "state"
)

// BoxList is the platform's list of boxes.
type BoxList struct {
	// List reads the complete list. Errors wrap ErrUnavailable.
	List func(ctx context.Context) ([]ListedBox, error)
}

// NewBoxList returns a BoxList that reads url, which serves the HTTP service discovery format of Prometheus.
func NewBoxList(url string, client *http.Client) BoxList {
	registry := &registryClient{base: url, client: client}
	return BoxList{List: func(ctx context.Context) ([]ListedBox, error) {
		content, err := registry.get(ctx, "", nil, listLimit)
		if err != nil {
			return nil, err
		}
		var groups []TargetGroup
		if err := json.Unmarshal(content, &groups); err != nil {
			return nil, fmt.Errorf("decoding box list: %w", err)
		}
		return listedBoxes(groups), nil
	}}
}

func listedBoxes(groups []TargetGroup) []ListedBox {
	var boxes []ListedBox
	for _, group := range groups {
		if len(group.Targets) == 0 {
			continue
		}
		boxes = append(boxes, ListedBox{
			Box:           member.BoxID(group.Labels[LabelBox]),
			Role:          member.Role(group.Labels[LabelRole]),
			Region:        member.Region(group.Labels[LabelRegion]),
			FailureDomain: member.FailureDomain(group.Labels[LabelFailureDomain]),
			PeerAddress:   member.Address(group.Targets[0]),
			State:         ListedState(group.Labels[LabelState]),
		})
	}
	return boxes
}
