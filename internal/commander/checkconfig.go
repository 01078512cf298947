package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/pkg/auditor"
	"magnoliahill.example/magnoliahill/pkg/cataloger"
	"magnoliahill.example/magnoliahill/pkg/comparer"
	"magnoliahill.example/magnoliahill/platform"
)

// platformConfigOptions are the options of "check" for the operator's configuration.
type platformConfigOptions struct {
	PlatformConfig   string `long:"platform-config" value-name:"FILE" description:"check a configuration as the platform's operator writes it"`
	InForce          string `long:"in-force" value-name:"FILE" description:"compare with the configuration in this file; the store is not asked"`
	PlatformSettings string `long:"platform-settings" value-name:"FILE" description:"settings written by the platform, for its regions, memory and, unless --in-force is given, the configuration in force and the backend servers in its store"`
	JSON             bool   `long:"json" description:"write the result as JSON"`
}

// listedFinding is a finding in the JSON output.
type listedFinding struct {
	Severity, Kind string
	File           string
	Line, Column   int
	Field          string
	Message        string
}

// listedField is a changed field in the JSON output.
type listedField struct{ Field, Before, After string }

// listedChange is a difference in the JSON output.
type listedChange struct {
	Kind, Name, Action string
	Fields             []listedField
	Effect             string
}

// configReport is the JSON output.
type configReport struct {
	File     string
	Findings []listedFinding
	Errors   int
	Compared bool // the configuration is valid and one is in force
	InForce  string
	Changes  []listedChange
}

// deployed is what is known of the deployment that a configuration is for.
type deployed struct {
	settings *loader.Deployment // nil if not given
	catalog  *cataloger.Catalog // in force; nil if not known
	options  []auditor.Option
}

// regions returns the region of each availability zone; empty if not known.
func (d *deployed) regions() map[string]string {
	if d.settings == nil {
		return nil
	}
	return d.settings.Regions
}

func (c *checkCommand) checkPlatformConfig() error {
	if c.Settings || c.Platform || len(c.Args.Files) > 0 {
		return withExitCode(ExitUsage, errors.New("--platform-config takes no further files, and neither --settings nor --platform"))
	}
	content, err := os.ReadFile(c.PlatformConfig)
	if err != nil {
		return withExitCode(ExitUsage, errors.Wrap(err, "failed to read configuration"))
	}
	d, deploymentErr := c.readSettings()
	examined := make(chan *platform.Examination, 1)
	go func() { examined <- platform.Examine(filepath.Base(c.PlatformConfig), content, d.regions()) }()
	if deploymentErr == nil {
		deploymentErr = c.readActive(d)
	}
	report, readable := reportConfig(<-examined, d)
	if err := report.write(c.out.stdout, c.JSON); err != nil {
		return errors.Wrap(err, "failed to write the result")
	}
	switch {
	case deploymentErr != nil:
		return withExitCode(ExitUsage, deploymentErr)
	case !readable:
		return withExitCode(ExitUsage, errors.Errorf("%s is not JSON", report.File))
	case len(report.Findings) > 0:
		return errors.Errorf("%d errors and %d warnings in %s", report.Errors, len(report.Findings)-report.Errors, report.File)
	}
	return nil
}

// readSettings reads the settings, if the options name them. With an error it returns a
// deployment of which nothing is known.
func (c *checkCommand) readSettings() (*deployed, error) {
	d := &deployed{}
	if c.PlatformSettings == "" {
		return d, nil
	}
	settings, err := (&settingsFile{path: c.PlatformSettings}).read()
	if err != nil {
		return d, err
	}
	d.settings = settings
	var regions []string
	for _, region := range settings.Regions {
		regions = append(regions, region)
	}
	d.options = append(d.options, auditor.WithRegions(regions), auditor.WithMemory(int64(settings.MemoryMB)<<20))
	return d, nil
}

// readActive reads the configuration in force from the file or store that the options
// name. With an error, what could be read is set.
func (c *checkCommand) readActive(d *deployed) error {
	var err error
	switch {
	case c.InForce != "":
		err = d.readFile(c.InForce)
	case d.settings != nil:
		err = d.readStore()
	}
	if d.catalog != nil {
		d.options = append(d.options, auditor.WithActive(d.catalog.Generation()))
	}
	return err
}

func (d *deployed) readFile(file string) error {
	content, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "failed to read the configuration in force")
	}
	d.catalog, err = platform.DecodeConfig(content, d.regions())
	return errors.Wrapf(err, "failed to read the configuration in force from %s", file)
}

// readStore reads the configuration in force and the backend servers from the store.
// As hosts do, it takes the valid configuration with the highest version, and ignores
// invalid registrations.
func (d *deployed) readStore() error {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	adapter := platform.New(d.settings.StoreAddress, storeTransport())
	configs, err := adapter.List(ctx, adapter.Kinds().Config)
	if err != nil {
		return errors.Wrap(err, "failed to read the configuration in force")
	}
	for _, item := range configs.Items() {
		if item.Deleted() {
			continue
		}
		catalog, err := adapter.DecodeConfig(item, d.settings.Regions)
		if err == nil && (d.catalog == nil || catalog.Generation() > d.catalog.Generation()) {
			d.catalog = catalog
		}
	}
	servers, err := adapter.List(ctx, adapter.Kinds().Servers)
	if err != nil {
		return errors.Wrap(err, "failed to read the backend servers")
	}
	counts := map[[2]string]int{}
	for _, item := range servers.Items() {
		if item.Deleted() {
			continue
		}
		if instance, err := adapter.DecodeServer(item); err == nil {
			counts[[2]string{instance.Service(), d.settings.Regions[instance.Zone()]}]++
		}
	}
	d.options = append(d.options, auditor.WithServers(counts))
	return nil
}

// reportConfig reports on an examined configuration, and whether it is JSON.
func reportConfig(examined *platform.Examination, d *deployed) (*configReport, bool) {
	findings := examined.Findings()
	if examined.Complete() {
		audited := auditor.New(d.options...).Audit(examined.Generation(), examined.Items())
		findings = append(findings, examined.LocateAll(audited)...)
	}
	auditor.Sort(findings)
	report := &configReport{File: examined.File(), Findings: []listedFinding{}, Changes: []listedChange{}}
	for _, f := range findings {
		report.addFinding(f)
	}
	if d.catalog == nil {
		return report, examined.Readable()
	}
	report.InForce = fmt.Sprintf("%08x", d.catalog.Generation())
	if catalog := examined.Catalog(); catalog != nil {
		report.Compared = true
		for _, change := range comparer.Compare(d.catalog, catalog) {
			report.addChange(change)
		}
	}
	return report, examined.Readable()
}

func (r *configReport) addFinding(f auditor.Finding) {
	if f.Severity() == auditor.Error {
		r.Errors++
	}
	r.Findings = append(r.Findings, listedFinding{
		Severity: f.Severity().String(), Kind: f.Kind(), File: f.File(), Line: f.Line(), Column: f.Column(),
		Field: f.Field(), Message: f.Message(),
	})
}

func (r *configReport) addChange(c comparer.Change) {
	listed := listedChange{Kind: c.Kind(), Name: c.Name(), Action: string(c.Action()), Fields: []listedField{}, Effect: c.Effect()}
	for _, f := range c.Fields() {
		name := platform.FieldName(f.Field())
		if name == "" {
			name = f.Field()
		}
		listed.Fields = append(listed.Fields, listedField{name, f.Before(), f.After()})
	}
	r.Changes = append(r.Changes, listed)
}

// write writes the report as JSON or as text.
func (r *configReport) write(w io.Writer, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	for _, f := range r.Findings {
		field := ""
		if f.Field != "" {
			field = f.Field + ": "
		}
		_, _ = fmt.Fprintf(w, "%s:%d:%d: %s: %s%s\n", f.File, f.Line, f.Column, f.Severity, field, f.Message)
	}
	if len(r.Findings) == 0 {
		_, _ = fmt.Fprintf(w, "%s: nothing found\n", r.File)
	}
	switch {
	case r.InForce == "":
		return nil
	case !r.Compared:
		_, err := fmt.Fprintf(w, "not compared with version %s in force: hosts reject the configuration\n", r.InForce)
		return err
	}
	_, _ = fmt.Fprintf(w, "changes to version %s in force: %d\n", r.InForce, len(r.Changes))
	for _, c := range r.Changes {
		_, _ = fmt.Fprintf(w, "%s: %s; %s\n", strings.TrimSpace(c.Kind+" "+c.Name), c.Action, c.Effect)
		for _, f := range c.Fields {
			_, _ = fmt.Fprintf(w, "    %s: %s -> %s\n", f.Field, f.Before, f.After)
		}
	}
	return nil
}
