// Package charts holds the state charts that package charter interprets.
package charts

import "embed"

// Files are the charts, one YAML file each.
//
//go:embed *.yaml
var Files embed.FS
