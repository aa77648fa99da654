package tpcommand

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os/user"
	"strings"

	"teaselpin.example/teaselpin/internal/edge/tpplatform"
	"teaselpin.example/teaselpin/internal/rollout/tprollout"
	"teaselpin.example/teaselpin/pkg/tpconfig"
	"teaselpin.example/teaselpin/pkg/tpmessage"
	"teaselpin.example/teaselpin/pkg/tpobject"
)

// Output is the option for the output format, which several commands embed.
type Output struct {
	Output string `long:"output" description:"form of the output" choice:"text" choice:"json" default:"text"`
}

// Apply merges a base file with an overlay and publishes the result as the
// accepted configuration.
type Apply struct {
	Output
	Base               string  `long:"base" description:"YAML file of the deployment" required:"true"`
	Overlay            string  `long:"overlay" description:"YAML file of the site"`
	Platform           string  `long:"platform" description:"URL of the platform" required:"true"`
	ExpectedGeneration *uint64 `long:"expect" description:"accepted generation that the files are based on; the present one if it is left out"`
	DryRun             bool    `long:"dry-run" description:"check and show the changes only"`
	Author             string  `long:"author" description:"name that the configuration carries; the user's by default"`

	env Env
}

// ApplyResult is the JSON output of apply.
type ApplyResult struct {
	// Result is accepted, unchanged, dryRun, invalid, race, unavailable,
	// unknown or failed.
	Result     string   `json:"result"`
	Generation uint64   `json:"generation"` // accepted generation when last read; 0 if none was read
	Changes    []string `json:"changes"`    // from the accepted configuration to the files
	// ConcurrentChanges lists the changes of other operators since the expected
	// generation.
	ConcurrentChanges []string `json:"since,omitempty"`
	// Faults lists the faults of the files with their positions.
	Faults []string `json:"faults,omitempty"`
	Error  string   `json:"error,omitempty"`
}

// Execute implements flags.Commander. It prints the result even if it
// returns an error.
func (c *Apply) Execute([]string) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	result, err := c.apply(ctx)
	if err != nil {
		result.Error = err.Error()
	}
	if c.Output.Output == "json" {
		if printErr := printJSON(c.env, result); printErr != nil {
			return printErr
		}
	} else {
		c.print(result)
	}
	return err
}

func (c *Apply) apply(ctx context.Context) (ApplyResult, error) {
	cfg, err := c.load()
	if err != nil {
		return invalidResult(err)
	}
	client, closeClient := tpplatform.NewClient(c.Platform)
	defer closeClient()
	accepted, err := readConfig(ctx, client)
	if err != nil {
		return failedResult(0, err)
	}
	result := ApplyResult{Generation: accepted.Generation, Changes: tpconfig.Diff(&accepted.Config, &cfg)}
	expect := accepted.Generation
	if c.ExpectedGeneration != nil {
		expect = *c.ExpectedGeneration
	}
	if c.DryRun && expect == accepted.Generation {
		result.Result = "dryRun"
		return result, nil
	}
	if expect != accepted.Generation {
		return c.raceResult(ctx, client, tpmessage.Snapshot{Generation: expect}, &cfg)
	}
	head, err := tprollout.Publish(ctx, client, &cfg, expect, c.author())
	switch {
	case errors.Is(err, tprollout.ErrRace):
		return c.raceResult(ctx, client, accepted, &cfg)
	case err != nil:
		return failedResult(accepted.Generation, err)
	case head.Generation == accepted.Generation:
		result.Result = "unchanged"
	default:
		result.Result, result.Generation = "accepted", head.Generation
	}
	return result, nil
}

func (c *Apply) load() (tpmessage.Config, error) {
	var files []tpconfig.File
	for _, path := range []string{c.Base, c.Overlay} {
		if path == "" {
			continue
		}
		f, err := tpconfig.ReadFile(path)
		if err != nil {
			return tpmessage.Config{}, err
		}
		files = append(files, f)
	}
	return tpconfig.Load(files[0], files[1:]...)
}

func invalidResult(err error) (ApplyResult, error) {
	var faults tpconfig.Faults
	if !errors.As(err, &faults) {
		return ApplyResult{Result: "failed"}, err
	}
	result := ApplyResult{Result: "invalid"}
	for _, f := range faults {
		result.Faults = append(result.Faults, f.String())
	}
	return result, &exitError{ExitInvalid, fmt.Errorf("nothing was changed; faults in the files: %d", len(faults))}
}

func failedResult(generation uint64, err error) (ApplyResult, error) {
	result := ApplyResult{Result: "failed", Generation: generation}
	switch {
	case errors.Is(err, tpobject.ErrOutcomeUnknown):
		result.Result = "unknown"
		err = &exitError{ExitUnknown, fmt.Errorf("the configuration may or may not have been accepted; apply --dry-run shows whether it differs from the accepted one: %w", err)}
	case errors.Is(err, tpobject.ErrUnavailable):
		result.Result = "unavailable"
		err = &exitError{ExitUnavailable, fmt.Errorf("nothing was changed: %w", err)}
	}
	return result, err
}

// raceResult returns the result for an operator whose expected configuration is
// no longer the accepted one, with the changes between the two. The content of
// the expected one is known only if it was just read, or if it directly
// precedes the accepted one.
func (c *Apply) raceResult(ctx context.Context, client *tpplatform.Client, expected tpmessage.Snapshot, cfg *tpmessage.Config) (ApplyResult, error) {
	head, _, err := tprollout.ReadHead(ctx, client)
	if err != nil {
		return failedResult(expected.Generation, err)
	}
	accepted, err := readParts(ctx, client, head)
	if err != nil {
		return failedResult(head.Generation, err)
	}
	result := ApplyResult{Result: "race", Generation: head.Generation, Changes: tpconfig.Diff(&accepted.Config, cfg)}
	expectedKnown := expected.Config.Deployment != ""
	if previous := tprollout.Previous(head); !expectedKnown && previous.Generation == expected.Generation && expected.Generation > 0 {
		if s, err := readParts(ctx, client, previous); err == nil {
			expected, expectedKnown = s, true
		}
	}
	raceErr := &tprollout.RaceError{Expected: expected.Generation, Found: head}
	if expectedKnown {
		result.ConcurrentChanges = tpconfig.Diff(&expected.Config, &accepted.Config)
	}
	return result, &exitError{ExitRace, fmt.Errorf("nothing was changed: %w", raceErr)}
}

func (c *Apply) author() string {
	if c.Author != "" {
		return c.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// readConfig returns the accepted configuration. If a part of the head no
// longer exists, the head was replaced twice in the meantime, and readConfig
// reads the new one.
func readConfig(ctx context.Context, client *tpplatform.Client) (tpmessage.Snapshot, error) {
	const attempts = 3
	var err error
	for range attempts {
		var head tpmessage.Head
		head, _, err = tprollout.ReadHead(ctx, client)
		if err != nil {
			return tpmessage.Snapshot{}, err
		}
		var s tpmessage.Snapshot
		if s, err = readParts(ctx, client, head); !errors.Is(err, tpobject.ErrNotFound) {
			return s, err
		}
	}
	return tpmessage.Snapshot{}, err
}

func readParts(ctx context.Context, client *tpplatform.Client, head tpmessage.Head) (tpmessage.Snapshot, error) {
	if head.Generation == 0 {
		return tpmessage.Snapshot{}, nil
	}
	fetched, err := tprollout.ReadParts(ctx, client, head, tprollout.Held{})
	if err != nil {
		return tpmessage.Snapshot{}, err
	}
	cfg, err := tprollout.Join(fetched.Parts)
	return tpmessage.Snapshot{Generation: head.Generation, Config: cfg}, err
}

// print writes the result as text. It does not print result.Error, which run
// writes to standard error.
func (c *Apply) print(r ApplyResult) {
	for _, f := range r.Faults {
		fmt.Fprintln(c.env.Stderr, f)
	}
	if len(r.ConcurrentChanges) > 0 {
		fmt.Fprintf(c.env.Stdout, "changed by others, now generation %d:\n%s\n", r.Generation, strings.Join(r.ConcurrentChanges, "\n"))
	}
	switch r.Result {
	case "accepted", "dryRun", "race":
		if len(r.Changes) > 0 {
			fmt.Fprintf(c.env.Stdout, "changes of the files:\n%s\n", strings.Join(r.Changes, "\n"))
		}
	}
	switch r.Result {
	case "accepted":
		fmt.Fprintf(c.env.Stdout, "accepted as generation %d\n", r.Generation)
	case "unchanged":
		fmt.Fprintf(c.env.Stdout, "no change; generation %d stays accepted\n", r.Generation)
	case "dryRun":
		fmt.Fprintf(c.env.Stdout, "dry run; generation %d stays accepted\n", r.Generation)
	}
}

func printJSON(env Env, v any) error {
	e := json.NewEncoder(env.Stdout)
	e.SetIndent("", "  ")
	return Error.Wrap(e.Encode(v))
}
