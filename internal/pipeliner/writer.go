package pipeliner

import (
	"io"
	"net/http"
)

// directWriter passes the response of a handler on to the server, and looks at whether
// it closes the connection. A connection has one, for all of its requests.
type directWriter struct {
	http.ResponseWriter
	conn        *conn
	usedHeader  bool // the handler may have set headers
	wroteHeader bool
}

// Header implements http.ResponseWriter.
func (w *directWriter) Header() http.Header {
	w.usedHeader = true
	return w.ResponseWriter.Header()
}

// WriteHeader implements http.ResponseWriter.
func (w *directWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.settle()
	}
	w.ResponseWriter.WriteHeader(status)
}

// settle is called before the headers are sent.
func (w *directWriter) settle() {
	if !w.wroteHeader && w.usedHeader {
		w.conn.settleClose(w.ResponseWriter.Header())
	}
	w.wroteHeader = true
}

// Write implements http.ResponseWriter.
func (w *directWriter) Write(p []byte) (int, error) {
	w.beginBody()
	return w.ResponseWriter.Write(p)
}

// WriteString implements io.StringWriter.
func (w *directWriter) WriteString(s string) (int, error) {
	w.beginBody()
	return io.WriteString(w.ResponseWriter, s)
}

// ReadFrom implements io.ReaderFrom, with the server's buffers.
func (w *directWriter) ReadFrom(source io.Reader) (int64, error) {
	w.beginBody()
	return io.Copy(w.ResponseWriter, source)
}

// FlushError sends what was written, for http.ResponseController.
func (w *directWriter) FlushError() error {
	w.beginBody()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *directWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *directWriter) beginBody() {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
}
