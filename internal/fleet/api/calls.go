package api

import (
	"context"
	"time"
)

// Register makes the caller the newest agent of its name. seenEdition is 0, or the highest edition that the agent has
// seen from another manager that it followed before.
func (c *Client) Register(ctx context.Context, agent string, seenEdition uint64) (Registration, error) {
	var registration Registration
	err := c.call(ctx, PathRegister, 0, RegisterRequest{Agent: agent, SeenEdition: seenEdition}, &registration)
	return registration, err
}

// Report sends an agent's report.
func (c *Client) Report(ctx context.Context, request *ReportRequest) error {
	return c.call(ctx, PathReport, 0, request, &ReportResponse{})
}

// Assignments waits for new assignments, and returns none if the request's wait passes without any.
func (c *Client) Assignments(ctx context.Context, request *AssignmentsRequest) (Assignments, error) {
	var assignments Assignments
	longPoll := time.Duration(request.WaitMS) * time.Millisecond
	err := c.call(ctx, PathAssignments, longPoll, request, &assignments)
	return assignments, err
}

// Config returns the text of a configuration.
func (c *Client) Config(ctx context.Context, digest string) (string, error) {
	var response ConfigResponse
	err := c.call(ctx, PathConfig, 0, ConfigRequest{Digest: digest}, &response)
	return response.Text, err
}

// Apply sets the desired state of the fleet.
func (c *Client) Apply(ctx context.Context, request *ApplyRequest) (Reply, error) {
	return c.command(ctx, PathApply, request)
}

// ChangeNodes changes the operators' overrides of storage nodes.
func (c *Client) ChangeNodes(ctx context.Context, request *NodeOverridesRequest) (Reply, error) {
	return c.command(ctx, PathChangeNodes, request)
}

// SetRolloutPhase pauses, resumes or aborts a rollout.
func (c *Client) SetRolloutPhase(ctx context.Context, request *SetPhaseRequest) (Reply, error) {
	return c.command(ctx, PathSetRolloutPhase, request)
}

// Retire declares that an agent and its machine have failed permanently.
func (c *Client) Retire(ctx context.Context, request *RetireRequest) (Reply, error) {
	return c.command(ctx, PathRetire, request)
}

// Rollback sets the desired state of an earlier revision.
func (c *Client) Rollback(ctx context.Context, request *RollbackRequest) (Reply, error) {
	return c.command(ctx, PathRollback, request)
}

func (c *Client) command(ctx context.Context, path string, request any) (Reply, error) {
	var reply Reply
	err := c.call(ctx, path, 0, request, &reply)
	return reply, err
}

// Overview returns the state of the fleet, with the instances that names and terms select; see spec.Selector.
func (c *Client) Overview(ctx context.Context, names, terms []string) (Overview, error) {
	var overview Overview
	err := c.call(ctx, PathOverview, 0, OverviewRequest{Names: names, Terms: terms}, &overview)
	return overview, err
}

// History returns up to limit of the newest revisions.
func (c *Client) History(ctx context.Context, limit int) (History, error) {
	var history History
	err := c.call(ctx, PathHistory, 0, HistoryRequest{Limit: limit}, &history)
	return history, err
}

// Wait returns when the rollout of a revision has ended (for revision 0, when the fleet has settled), when a rollout is
// paused, or when the wait has passed.
func (c *Client) Wait(ctx context.Context, revision uint64, wait time.Duration) (WaitResponse, error) {
	var response WaitResponse
	err := c.call(ctx, PathWait, wait, WaitRequest{Revision: revision, WaitMS: wait.Milliseconds()}, &response)
	return response, err
}
