// Package charts contains the state charts of the program as YAML files.
package charts

import "embed"

// Files contains one YAML file per chart.
//
//go:embed *.yaml
var Files embed.FS
