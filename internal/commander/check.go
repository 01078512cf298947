package commander

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/loader"
	"magnoliahill.example/magnoliahill/internal/parser"
	"magnoliahill.example/magnoliahill/platform"
)

func init() {
	register("check", "Check service files or settings",
		"Validates files as publish would, without the platform, and reports every problem with file, line and field. "+
			"With --platform-config, reports all that hosts would reject or ignore in the operator's configuration, what in it cannot have an effect, and what differs from the one in force; "+
			"exits with 0 if nothing is found, 1 if something is, and 2 if a file cannot be read. The last four options apply to --platform-config only.",
		func(out *output) command { return &checkCommand{out: out} })
}

type checkCommand struct {
	out      *output
	Settings bool `long:"settings" description:"the files are settings of entry hosts"`
	Platform bool `long:"platform" description:"the files are settings written by the platform"`
	platformConfigOptions
	Args struct {
		Files []string `positional-arg-name:"FILE" description:"files, or folders of .yaml files"`
	} `positional-args:"true"`
}

// Execute implements command.
func (c *checkCommand) Execute([]string) error {
	if c.PlatformConfig != "" {
		return c.checkPlatformConfig()
	}
	if len(c.Args.Files) == 0 {
		return withExitCode(ExitUsage, errors.New("the required argument `FILE (at least 1 argument)` was not provided"))
	}
	if c.Settings || c.Platform {
		return c.checkSettings()
	}
	docs, err := readDocuments(c.Args.Files)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	catalog, err := parser.Build(1, docs)
	if err != nil {
		return withExitCode(ExitUsage, err)
	}
	_, _ = fmt.Fprintf(c.out.stdout, "%d files are valid: %d services, %d workspaces, %d keys\n",
		len(docs), len(catalog.Services()), len(catalog.Workspaces()), len(catalog.Keys()))
	return nil
}

func (c *checkCommand) checkSettings() error {
	for _, file := range c.Args.Files {
		if err := c.checkSettingsFile(file); err != nil {
			return withExitCode(ExitUsage, err)
		}
	}
	_, _ = fmt.Fprintf(c.out.stdout, "%d settings files are valid\n", len(c.Args.Files))
	return nil
}

func (c *checkCommand) checkSettingsFile(file string) error {
	if !c.Platform {
		_, err := loader.Load(file)
		return err
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "failed to read platform settings")
	}
	settings, err := platform.ParseSettings(filepath.Base(file), data)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.out.stdout, "host %s in %s (%s): requests at %s, look-ups at %s, store at %s, grace %s\n",
		settings.Host, settings.Zone, settings.Region, settings.DataAddress, settings.LookupAddress, settings.StoreAddress, settings.StopTimeout)
	return nil
}

// readDocuments reads files and the YAML files of folders. A file is identified
// by its base name, so that it does not matter from which folder it is published.
func readDocuments(paths []string) ([]parser.Document, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, errors.Wrap(err, "failed to read file")
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		matches, err := filepath.Glob(filepath.Join(path, "*.yaml"))
		if err != nil {
			return nil, err
		}
		files = append(files, matches...)
	}
	sort.Strings(files)
	seen := map[string]string{}
	var docs []parser.Document
	for _, file := range files {
		name := filepath.Base(file)
		if other, duplicate := seen[name]; duplicate {
			return nil, errors.Errorf("files %s and %s have the same name", other, file)
		}
		if strings.ContainsAny(name, "\n\r") {
			return nil, errors.Errorf("file name %q contains a line break", name)
		}
		seen[name] = file
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "failed to read file")
		}
		docs = append(docs, parser.NewDocument(name, data))
	}
	return docs, nil
}
