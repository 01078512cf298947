package logger

import (
	"log"

	"k8s.io/klog/v2"
)

// Connections returns a log for what net/http has to say of single connections:
// callers that break off are no change of state, so it is shown only at the
// highest verbosity.
func Connections() *log.Logger { return log.New(verbose{}, "", 0) }

type verbose struct{}

// Write implements io.Writer.
func (verbose) Write(p []byte) (int, error) {
	klog.V(4).Info(string(p))
	return len(p), nil
}
