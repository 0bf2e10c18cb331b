package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, entries [][]byte) (Offset, error) {
	var reply AppendReply
	k := call{method: http.MethodPost, path: logPath(stream), requestBody: AppendRequest{Entries: entries}, replyBody: &reply, mutates: true}
	if err := c.do(ctx, &k); err != nil {
		return 0, err
	}
	return reply.Offset, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, stream string, from Offset, max int, wait time.Duration) (Batch, error) {
	wait = min(wait, MaxReadWait)
	query := url.Values{}
	query.Set(QueryFrom, strconv.FormatUint(uint64(from), 10))
	query.Set(QueryMax, strconv.Itoa(max))
	query.Set(QueryWaitMS, strconv.FormatInt(wait.Milliseconds(), 10))
	var batch Batch
	k := call{method: http.MethodGet, path: logPath(stream) + "?" + query.Encode(), replyBody: &batch, wait: wait}
	err := c.do(ctx, &k)
	if errors.Is(err, ErrTrimmed) {
		return Batch{First: k.errorReply.First, Next: k.errorReply.Next}, err
	}
	if err != nil {
		return Batch{}, err
	}
	return batch, nil
}

func logPath(stream string) string { return "/v1/log/" + url.PathEscape(stream) }

// List implements Fleet.
func (c *Client) List(ctx context.Context) (VMList, error) {
	var list VMList
	err := c.do(ctx, &call{method: http.MethodGet, path: "/v1/vms", replyBody: &list})
	return list, err
}

// Drain implements Fleet.
func (c *Client) Drain(ctx context.Context, vm string, op Operation) (OperationStatus, error) {
	return c.actOnVM(ctx, vm, VerbDrain, op)
}

// Undrain implements Fleet.
func (c *Client) Undrain(ctx context.Context, vm string, op Operation) (OperationStatus, error) {
	return c.actOnVM(ctx, vm, VerbUndrain, op)
}

// Reboot implements Fleet.
func (c *Client) Reboot(ctx context.Context, vm string, op Operation) (OperationStatus, error) {
	return c.actOnVM(ctx, vm, VerbReboot, op)
}

// Operation implements Fleet.
func (c *Client) Operation(ctx context.Context, vm, id string) (OperationStatus, error) {
	var reply OperationReply
	path := vmPath(vm) + "/operations/" + url.PathEscape(id)
	err := c.do(ctx, &call{method: http.MethodGet, path: path, replyBody: &reply})
	return reply.Status, err
}

func (c *Client) actOnVM(ctx context.Context, vm, verb string, op Operation) (OperationStatus, error) {
	var reply OperationReply
	k := call{method: http.MethodPost, path: vmPath(vm) + "/" + verb, requestBody: op, replyBody: &reply, mutates: true}
	err := c.do(ctx, &k)
	return reply.Status, err
}

func vmPath(vm string) string { return "/v1/vms/" + url.PathEscape(vm) }

// Start implements Tasks.
func (c *Client) Start(ctx context.Context, spec TaskSpec, op Operation) (TaskStatus, error) {
	return c.actOnTask(ctx, "/v1/tasks", StartRequest{Spec: spec, Op: op})
}

// Renew implements Tasks.
func (c *Client) Renew(ctx context.Context, worker string, tasks []string, lease time.Duration, fence Offset) error {
	in := RenewRequest{Tasks: tasks, Lease: lease, Fence: fence}
	return c.do(ctx, &call{method: http.MethodPost, path: workerPath(worker) + "/renew", requestBody: in, mutates: true})
}

// Checkpoint implements Tasks.
func (c *Client) Checkpoint(ctx context.Context, task string, op Operation) (TaskStatus, error) {
	return c.actOnTask(ctx, taskPath(task, VerbCheckpoint), TaskAction{Op: op})
}

// Throttle implements Tasks.
func (c *Client) Throttle(ctx context.Context, task string, share float64, op Operation) (TaskStatus, error) {
	return c.actOnTask(ctx, taskPath(task, VerbThrottle), TaskAction{Op: op, Share: share})
}

// Stop implements Tasks.
func (c *Client) Stop(ctx context.Context, task string, op Operation) (TaskStatus, error) {
	return c.actOnTask(ctx, taskPath(task, VerbStop), TaskAction{Op: op})
}

// Status implements Tasks.
func (c *Client) Status(ctx context.Context, worker string) ([]TaskStatus, error) {
	var statuses []TaskStatus
	err := c.do(ctx, &call{method: http.MethodGet, path: workerPath(worker) + "/tasks", replyBody: &statuses})
	return statuses, err
}

// Usage implements Tasks.
func (c *Client) Usage(ctx context.Context) ([]Usage, error) {
	var usage []Usage
	err := c.do(ctx, &call{method: http.MethodGet, path: "/v1/usage", replyBody: &usage})
	return usage, err
}

func (c *Client) actOnTask(ctx context.Context, path string, in any) (TaskStatus, error) {
	var status TaskStatus
	err := c.do(ctx, &call{method: http.MethodPost, path: path, requestBody: in, replyBody: &status, mutates: true})
	return status, err
}

func taskPath(task, verb string) string { return "/v1/tasks/" + url.PathEscape(task) + "/" + verb }

func workerPath(worker string) string { return "/v1/workers/" + url.PathEscape(worker) }
