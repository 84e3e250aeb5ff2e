package pscli

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/trial/psexperiment"
	"persimmonstep/internal/trial/psresult"
	"persimmonstep/internal/trial/psscenario"
)

// measureCommand runs experiments.
type measureCommand struct {
	Scenarios []string `arg:"" optional:"" type:"existingfile" help:"Scenario files (TOML)."`
	All       bool     `help:"Run every scenario of the directory scenarios."`
	Directory string   `default:"scenarios" help:"The directory of scenarios for --all."`
	Firm      string   `help:"Run one firm's size only, such as egg-exchange."`
	Baseline  bool     `default:"true" negatable:"" help:"Run the baseline policy beside the system's own."`
	Bound     bool     `default:"true" negatable:"" help:"Compute what a scheduler could serve that knows all arrivals."`
	Losses    bool     `help:"Show why requests of the system's own run were not served in target."`
	Seed      uint64   `help:"Draw the load from this seed in place of the scenario's."`
	JSON      bool     `name:"json" help:"Print JSON."`
	Plot      string   `help:"Write a plot (SVG) to this file."`
	HTML      string   `name:"html" help:"Write a report with the plot (HTML) to this file."`
}

// Run runs each scenario for each firm and prints the results.
func (c *measureCommand) Run(ctx context.Context, s streams) error {
	scenarios, err := c.scenarios()
	if err != nil {
		return err
	}
	l := hclog.New(&hclog.LoggerOptions{Name: "measure", Output: os.Stderr})
	var results []*psresult.Result
	for _, v := range scenarios {
		r, err := c.runScenario(ctx, v, l)
		if err != nil {
			return err
		}
		results = append(results, r...)
	}
	if err := c.report(s, results); err != nil {
		return err
	}
	return checkGuarantees(results)
}

// scenarios parses the scenario files.
func (c *measureCommand) scenarios() ([]*psscenario.Scenario, error) {
	files := c.Scenarios
	if c.All {
		found, err := filepath.Glob(filepath.Join(c.Directory, "*.toml"))
		if err != nil {
			return nil, errors.Wrap(err, "list scenarios")
		}
		files = append(files, found...)
	}
	if len(files) == 0 {
		return nil, errors.New("measure: neither a scenario file nor --all given")
	}
	var out []*psscenario.Scenario
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, errors.Wrap(err, "read scenario")
		}
		v, err := psscenario.Parse(f, data)
		if err != nil {
			return nil, &exitError{code: ExitFindings, text: err.Error()}
		}
		if c.Seed > 0 {
			v.Seed = c.Seed
		}
		out = append(out, v)
	}
	return out, nil
}

// runScenario runs a scenario with each policy for each firm.
func (c *measureCommand) runScenario(ctx context.Context, v *psscenario.Scenario, l hclog.Logger) ([]*psresult.Result, error) {
	system := psexperiment.System()
	system.Losses = c.Losses
	policies := []psexperiment.Policy{system}
	if c.Baseline {
		policies = append(policies, psexperiment.Baseline())
	}
	var out []*psresult.Result
	for _, f := range v.Firms() {
		if c.Firm != "" && string(f.Name) != c.Firm {
			continue
		}
		for _, p := range policies {
			if ctx.Err() != nil {
				return out, nil
			}
			r, err := psexperiment.Run(ctx, f, v, p, l)
			if err != nil {
				return nil, errors.Wrapf(err, "run scenario %s", v.Name)
			}
			out = append(out, r)
		}
		if c.Bound {
			out = append(out, psexperiment.Bounds(f, v)...)
		}
	}
	return out, nil
}

func (c *measureCommand) report(s streams, results []*psresult.Result) error {
	if err := writeFile(c.Plot, results, psresult.Plot); err != nil {
		return err
	}
	if err := writeFile(c.HTML, results, psresult.HTML); err != nil {
		return err
	}
	if c.JSON {
		e := json.NewEncoder(s.out)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(results), "print results")
	}
	return psresult.Table(s.out, results)
}

// writeFile writes results to a file, unless the path is empty.
func writeFile(path string, results []*psresult.Result, write func(io.Writer, []*psresult.Result) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create results file")
	}
	if err := write(f, results); err != nil {
		_ = f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "write results file")
}

// checkGuarantees returns an error if a run through the system violated a guarantee. Runs of the baseline don't count.
func checkGuarantees(results []*psresult.Result) error {
	for _, r := range results {
		if r.Policy == psexperiment.System().Name && r.Broken.Total() > 0 {
			return &exitError{code: ExitViolation, text: "measure: the system violated a guarantee"}
		}
	}
	return nil
}
