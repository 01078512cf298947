package logger

import (
	"log"

	"k8s.io/klog/v2"
)

// NewConnectionLogger returns a logger for the errors of single connections that
// net/http reports. A caller that closes its connection early is no change of
// state, so these lines are written only at verbosity 4 and above.
func NewConnectionLogger() *log.Logger { return log.New(verboseWriter{}, "", 0) }

// verboseWriter writes to klog at verbosity 4.
type verboseWriter struct{}

// Write implements io.Writer.
func (verboseWriter) Write(p []byte) (int, error) {
	klog.V(4).Info(string(p))
	return len(p), nil
}
