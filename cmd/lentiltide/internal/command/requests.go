package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/lentiltide/lentiltide/connection/jsonhttp"
	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/process/instance"
	"github.com/lentiltide/lentiltide/request/api"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// send sends a request to the instances in order until one is available. It tries the next one only if the request did not
// run because the previous one was unavailable, so that no request runs on two instances.
func (c *command) send(ctx context.Context, method, path string, header http.Header, body []byte, out any) error {
	if header == nil {
		header = http.Header{}
	}
	if header.Get(api.HeaderRequestID) == "" {
		header.Set(api.HeaderRequestID, uuid.NewString())
	}
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(api.HeaderTimeoutMS, strconv.FormatInt(max(1, time.Until(deadline).Milliseconds()), 10))
	}
	var err error
	for _, base := range c.args.URL {
		_, err = jsonhttp.NewClient(base, nil).Do(ctx, method, path, header, body, out)
		if err == nil || verdict.Of(err) != verdict.NotRun || verdict.From(err).Code != verdict.CodeUnavailable {
			return err
		}
	}
	return err
}

func (c *command) get(ctx context.Context, path string, out any) error {
	return c.send(ctx, http.MethodGet, path, nil, nil, out)
}

func (c *command) post(ctx context.Context, path string, header http.Header, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "encode request")
	}
	return c.send(ctx, http.MethodPost, path, header, body, out)
}

func (c *command) plan(ctx context.Context, file string) error {
	data, err := c.readInput(file)
	if err != nil {
		return err
	}
	var plan model.Plan
	if err := c.send(ctx, http.MethodPost, "/v1/plans", nil, data, &plan); err != nil {
		return err
	}
	return printReply(c, plan, printPlan)
}

func (c *command) confirm(ctx context.Context, id string) error {
	var in model.Intent
	if err := c.post(ctx, "/v1/plans/"+url.PathEscape(id)+"/confirm", nil, struct{}{}, &in); err != nil {
		return err
	}
	return printReply(c, in, printConfirmed)
}

func (c *command) cancel(ctx context.Context, id string) error {
	var in model.Intent
	if err := c.post(ctx, "/v1/intents/"+url.PathEscape(id)+"/cancel", nil, struct{}{}, &in); err != nil {
		return err
	}
	return printReply(c, in, printIntent)
}

func (c *command) status(ctx context.Context, a *statusArgs) error {
	limit := maxListedTasks
	if a.All {
		limit = model.MaxTasks
	}
	var s api.StatusReply
	if err := c.get(ctx, "/v1/intents/"+url.PathEscape(a.ID)+"?limit="+strconv.Itoa(limit), &s); err != nil {
		return err
	}
	return printReply(c, s, printStatus)
}

func (c *command) explain(ctx context.Context, a *explainArgs) error {
	path := "/v1/intents/" + url.PathEscape(a.ID) + "/explain"
	if a.Task != "" {
		path += "?task=" + url.QueryEscape(a.Task)
	}
	var reply api.ExplainReply
	if err := c.get(ctx, path, &reply); err != nil {
		return err
	}
	return printReply(c, reply, printExplanations)
}

func (c *command) tickets(ctx context.Context, a *ticketsArgs) error {
	var reply api.TicketsReply
	if err := c.post(ctx, "/v1/intents/"+url.PathEscape(a.ID)+"/tickets", nil, api.TicketsRequest{Count: a.Count}, &reply); err != nil {
		return err
	}
	return printReply(c, reply, printTickets)
}

// call runs one call. Without a ticket or an idempotency key it fetches a ticket first; a ticket that is never used costs
// nothing.
func (c *command) call(ctx context.Context, a *callArgs) error {
	path := "/v1/intents/" + url.PathEscape(a.ID)
	if a.Ticket == "" && a.Key == "" {
		var reply api.TicketsReply
		if err := c.post(ctx, path+"/tickets", nil, api.TicketsRequest{Count: 1}, &reply); err != nil {
			return verdict.Wrap(err, verdict.NotRun, verdict.From(err).Code, "fetch a ticket")
		}
		a.Ticket = reply.Tickets[0]
	}
	header := http.Header{}
	if a.Ticket != "" {
		header.Set(api.HeaderTicket, a.Ticket)
	}
	if a.Key != "" {
		header.Set(api.HeaderIdempotencyKey, a.Key)
	}
	var reply api.CallReply
	if err := c.post(ctx, path+"/calls", header, api.CallRequest{Payload: a.Payload}, &reply); err != nil {
		if verdict.Of(err) == verdict.MayHaveRun && a.Ticket != "" && !c.args.JSON {
			fmt.Fprintf(c.streams.Err, "to repeat the call without running it twice: lentiltide call %s %q --ticket %s\n", a.ID, a.Payload, a.Ticket)
		}
		return err
	}
	return printReply(c, reply, printCall)
}

func (c *command) dump(ctx context.Context, limit int) error {
	var d json.RawMessage
	if err := c.get(ctx, "/v1/dump?limit="+strconv.Itoa(limit), &d); err != nil {
		return err
	}
	return c.printJSON(d)
}

// where asks the leader of a cell where the tasks of a job would start.
func (c *command) where(ctx context.Context, a *whereArgs) error {
	data, err := c.readInput(a.File)
	if err != nil {
		return err
	}
	path := "/explain?" + url.Values{"queue": {a.Queue}, "team": {a.Team}}.Encode()
	var placement json.RawMessage
	if err := c.send(ctx, http.MethodPost, path, nil, data, &placement); err != nil {
		return err
	}
	return c.printJSON(placement)
}

func (c *command) config(ctx context.Context, a *configArgs) error {
	switch {
	case a.Show != nil:
		var reply json.RawMessage
		if err := c.get(ctx, "/v1/config", &reply); err != nil {
			return err
		}
		return c.printJSON(reply)
	case a.Plan != nil:
		data, err := c.readInput(a.Plan.File)
		if err != nil {
			return err
		}
		var plan instance.ConfigPlan
		if err := c.send(ctx, http.MethodPost, "/v1/config/plans", nil, data, &plan); err != nil {
			return err
		}
		return printReply(c, plan, printConfigPlan)
	case a.Confirm != nil:
		var status instance.ConfigStatus
		path := "/v1/config/plans/" + url.PathEscape(a.Confirm.ID) + "/confirm"
		if err := c.post(ctx, path, nil, struct{}{}, &status); err != nil {
			return err
		}
		return printReply(c, status, printConfigStatus)
	default:
		var status instance.ConfigStatus
		if err := c.get(ctx, "/v1/config/status", &status); err != nil {
			return err
		}
		return printReply(c, status, printConfigStatus)
	}
}
