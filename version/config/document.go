// Package config holds the configuration of a cell: one JSON document with a version that only increases. A document with
// any invalid value is rejected as a whole, and all its problems are reported. A View lives as long as the process; an
// Applied value belongs to one version.
package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lentiltide/lentiltide/model"
	"github.com/lentiltide/lentiltide/request/strictjson"
	"github.com/lentiltide/lentiltide/request/verdict"
)

// MaxDocumentBytes is the maximum size of a document.
const MaxDocumentBytes = 256 << 10

// Document is the configuration of a cell. Fields that the JSON document omits have the values of Default.
type Document struct {
	// Classes holds the weight and limits of each scheduling class by its name.
	Classes map[string]Class `json:"classes"`
	// Limits bounds the requests that one instance processes at a time.
	Limits Limits `json:"limits"`
	// Teams holds the shares and quotas of teams. A team that is not listed has weight 1 and no limit.
	Teams []Team `json:"teams"`
	// Policy holds the settings for intents.
	Policy Policy `json:"policy"`
}

// Class is the weight and the limits of one scheduling class.
type Class struct {
	// Weight is the relative share of the class where service, batch and long work compete for capacity.
	Weight int `json:"weight"`
	// MaxSharePercent is the largest share of a rack's capacity that the class may use.
	MaxSharePercent int `json:"max_share_percent"`
	// QueueLimit bounds the queued offers of the class in a rack.
	QueueLimit int `json:"queue_limit"`
	// MaxQueued bounds the requests of the class that are queued at one instance.
	MaxQueued int `json:"max_queued"`
}

// Limits bounds the requests that one instance processes at a time.
type Limits struct {
	// MaxInFlight bounds the requests of all clients together.
	MaxInFlight int `json:"max_in_flight"`
	// ClientInFlight and TeamInFlight bound the requests of one client and of one team, in flight or queued.
	ClientInFlight int `json:"client_in_flight"`
	TeamInFlight   int `json:"team_in_flight"`
	// QueueDelayMS is the queue delay, in milliseconds, above which requests of the lowest queued class are shed.
	QueueDelayMS int `json:"queue_delay_ms"`
	// RetryPercent limits the retries that the system itself makes, as a percentage of first attempts.
	RetryPercent int `json:"retry_percent"`
}

// Team is the share and the quota of one team.
type Team struct {
	Account string `json:"account"`
	Team    string `json:"team"`
	// Weight scales the team's fair share.
	Weight int `json:"weight"`
	// Share is what the team may use at any time; use beyond it is borrowed. Limit is what the team never exceeds. A zero
	// field means no limit.
	Share model.Resources `json:"share"`
	Limit model.Resources `json:"limit"`
}

// Policy holds the settings for intents.
type Policy struct {
	// PlanTermMS is how long a plan can be confirmed, in milliseconds.
	PlanTermMS int `json:"plan_term_ms"`
	// OfferTermMS is how long an offer is valid before the task is offered elsewhere, in milliseconds.
	OfferTermMS int `json:"offer_term_ms"`
	// MaxAttempts is the number of distinct workers on which a task may fail before it is stopped.
	MaxAttempts int `json:"max_attempts"`
}

// Default returns the document that applies while no version is stored.
func Default() Document {
	d := Document{
		Classes: map[string]Class{},
		Limits: Limits{
			MaxInFlight: 1024, ClientInFlight: 512, TeamInFlight: 512, QueueDelayMS: 50, RetryPercent: 10,
		},
		Policy: Policy{PlanTermMS: 600_000, OfferTermMS: 2000, MaxAttempts: 3},
	}
	weights := [model.NumClasses]int{8, 8, 4, 2, 1}
	for c := range model.NumClasses {
		d.Classes[c.String()] = Class{Weight: weights[c], MaxSharePercent: 100, QueueLimit: 20_000, MaxQueued: 1024}
	}
	return d
}

// Parse decodes and validates a document. The error is a *verdict.Error with CodeInvalid and NotRun, whose detail is a
// []Problem that lists every problem.
func Parse(data []byte) (Document, error) {
	d, problems := decode(data)
	if len(problems) == 0 {
		problems = d.check()
	}
	if len(problems) == 0 {
		return d, nil
	}
	lines := make([]string, len(problems))
	for i, p := range problems {
		lines[i] = p.Path + ": " + p.Message
	}
	return Document{}, verdict.Invalid(problems[0].Path, "%s", strings.Join(lines, "; ")).WithDetail(problems)
}

// Problem is one error in a document.
type Problem struct {
	// Path names the field, such as limits.max_in_flight or teams[2].weight.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// decode decodes a document into the default one, so that omitted fields keep their defaults.
func decode(data []byte) (Document, []Problem) {
	if len(data) > MaxDocumentBytes {
		return Document{}, []Problem{{"document", fmt.Sprintf("expected at most %d bytes, got %d", MaxDocumentBytes, len(data))}}
	}
	d := Default()
	decodeProblems := strictjson.Decode(data, &d)
	problems := make([]Problem, len(decodeProblems))
	for i, p := range decodeProblems {
		problems[i] = Problem{Path: p.Path, Message: p.Message}
		if p.Path == "" {
			problems[i].Path = "document"
		}
	}
	return d, problems
}

// check returns a problem for every invalid value.
func (d Document) check() []Problem {
	var problems []Problem
	checkRange := func(path string, value, low, high int) {
		if value < low || value > high {
			problems = append(problems, Problem{path, fmt.Sprintf("expected %d to %d, got %d", low, high, value)})
		}
	}
	for c := range model.NumClasses {
		path := "classes." + c.String() + "."
		checkRange(path+"weight", d.Class(c).Weight, 1, 1000)
		checkRange(path+"max_share_percent", d.Class(c).MaxSharePercent, 1, 100)
		checkRange(path+"queue_limit", d.Class(c).QueueLimit, 1, 1_000_000)
		checkRange(path+"max_queued", d.Class(c).MaxQueued, 1, 100_000)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
		if new(model.Class).UnmarshalText([]byte(name)) != nil {
			problems = append(problems, Problem{"classes." + name, "unknown class"})
		}
	}
	checkRange("limits.max_in_flight", d.Limits.MaxInFlight, 1, 100_000)
	checkRange("limits.client_in_flight", d.Limits.ClientInFlight, 1, 100_000)
	checkRange("limits.team_in_flight", d.Limits.TeamInFlight, 1, 100_000)
	checkRange("limits.queue_delay_ms", d.Limits.QueueDelayMS, 1, 10_000)
	checkRange("limits.retry_percent", d.Limits.RetryPercent, 0, 100)
	checkRange("policy.plan_term_ms", d.Policy.PlanTermMS, 1000, 86_400_000)
	checkRange("policy.offer_term_ms", d.Policy.OfferTermMS, 100, 600_000)
	checkRange("policy.max_attempts", d.Policy.MaxAttempts, 1, 100)
	return append(problems, d.checkTeams()...)
}

func (d Document) checkTeams() []Problem {
	var problems []Problem
	seen := map[string]int{}
	for i, t := range d.Teams {
		path := fmt.Sprintf("teams[%d].", i)
		if t.Account == "" {
			problems = append(problems, Problem{path + "account", "must not be empty"})
		}
		if t.Team == "" {
			problems = append(problems, Problem{path + "team", "must not be empty"})
		}
		if t.Weight < 1 || t.Weight > 1000 {
			problems = append(problems, Problem{path + "weight", fmt.Sprintf("expected 1 to 1000, got %d", t.Weight)})
		}
		key := t.Account + "\x00" + t.Team
		if first, ok := seen[key]; ok {
			problems = append(problems, Problem{path + "team", fmt.Sprintf("is listed in teams[%d] as well", first)})
		}
		seen[key] = i
		problems = append(problems, checkResources(path+"share.", t.Share)...)
		problems = append(problems, checkResources(path+"limit.", t.Limit)...)
	}
	return problems
}

func checkResources(path string, r model.Resources) []Problem {
	var problems []Problem
	for _, f := range []struct {
		name  string
		value int64
	}{
		{"cpu_milli", r.CPUMilli}, {"memory_mib", r.MemoryMiB}, {"accelerators", r.Accelerators}, {"slots", r.Slots},
		{"connections", r.Connections},
	} {
		if f.value < 0 {
			problems = append(problems, Problem{path + f.name, fmt.Sprintf("must not be negative, got %d", f.value)})
		}
	}
	return problems
}

// Class returns the settings of a class.
func (d Document) Class(c model.Class) Class { return d.Classes[c.String()] }
