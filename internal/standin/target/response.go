package target

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// formatShed returns a response that reports the request as not executed.
func (t *Responder) formatShed(id string) string {
	return t.formatUnsigned("503 Service Unavailable", id, 0, t.headers.NotRun+": 1\r\n"+t.extra())
}

// formatHead returns the status line and headers of a signed response. Each of the
// extra headers ends with a line break.
func (t *Responder) formatHead(status, id string, length int, extraHeaders string) string {
	return t.formatUnsigned(status, id, length, t.headers.ResponseStamp+": s."+id+"\r\n"+extraHeaders)
}

// formatUnsigned is formatHead for a response without a signature.
func (t *Responder) formatUnsigned(status, id string, length int, extraHeaders string) string {
	return "HTTP/1.1 " + status + "\r\n" + t.headers.RequestID + ": " + id + "\r\n" + t.headers.Load + ": 1,0,8\r\nContent-Length: " +
		strconv.Itoa(length) + "\r\n" + extraHeaders + "\r\n"
}

// sendResponse sends the response with a fault and reports whether the connection
// stays open.
func (t *Responder) sendResponse(conn net.Conn, fault Fault, id, body string) bool {
	response := t.formatHead("200 OK", id, len(body), t.extra()) + body
	switch fault {
	case NoResponse:
		return false
	case RawResponse:
		t.mu.Lock()
		raw := t.rawResponse
		t.mu.Unlock()
		t.write(conn, raw)
		return false
	case Reset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		return false
	case CutShort:
		t.write(conn, response[:len(response)-len(body)/2])
		return false
	case ForeignResponse:
		return t.write(conn, t.formatHead("200 OK", "another", 5, "")+"wrong"+response)
	case ForgottenIdle:
		t.mu.Lock()
		t.forgotten[conn] = true
		t.mu.Unlock()
	case AnonymousResponse:
		return t.write(conn, "HTTP/1.1 200 OK\r\n"+t.headers.ResponseStamp+": s.another\r\nContent-Length: 5\r\n\r\nwrong"+response)
	case EndlessHead:
		t.writeEndless(conn, "HTTP/1.1 200 OK\r\n", "X-Filler: "+strings.Repeat("x", 1000)+"\r\n", 0)
		return false
	case EndlessSigned:
		t.writeEndless(conn, "HTTP/1.1 200 OK\r\n"+t.headers.RequestID+": "+id+"\r\n"+t.headers.ResponseStamp+": s."+id+"\r\n\r\n", strings.Repeat("x", 64<<10), time.Millisecond)
		return false
	case StalledBody:
		t.write(conn, "HTTP/1.1 200 OK\r\n"+t.headers.RequestID+": "+id+"\r\n"+t.headers.ResponseStamp+": s."+id+"\r\n\r\n"+strings.Repeat("x", 300_000))
		_, _ = io.Copy(io.Discard, conn) // ends when the client closes the connection
		return false
	case LongCutShort:
		t.write(conn, t.formatHead("200 OK", id, 2<<20, "")+strings.Repeat("x", 3<<19))
		return false
	case EndlessBody:
		t.writeEndless(conn, "HTTP/1.1 200 OK\r\n"+t.headers.RequestID+": "+id+"\r\n\r\n", "x", time.Millisecond)
		return false
	case DuplicateResponse:
		return t.write(conn, response+response)
	case Garbage:
		t.write(conn, "\x00\x01 this is no answer\r\n\r\n")
		return false
	case Unsigned:
		return t.write(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", t.headers.RequestID, id))
	case NoContentLength:
		t.write(conn, "HTTP/1.1 200 OK\r\n"+t.headers.RequestID+": "+id+"\r\n"+t.headers.ResponseStamp+": s."+id+"\r\n\r\n"+body)
		return false
	case ServerError:
		return t.write(conn, t.formatHead("500 Internal Server Error", id, len(body), "")+body)
	case Unavailable:
		return t.write(conn, t.formatHead("503 Service Unavailable", id, len(body), "")+body)
	case Hang:
		_, _ = io.Copy(io.Discard, conn) // ends when the client closes the connection
		return false
	case UnannouncedClose:
		t.write(conn, response)
		return false
	}
	return t.write(conn, response)
}

// writeEndless writes text and then the same filler with a pause after each one,
// until the client closes the connection or the target ends.
func (t *Responder) writeEndless(conn net.Conn, text, filler string, pause time.Duration) {
	for ok := t.write(conn, text); ok; ok = t.write(conn, filler) {
		time.Sleep(pause)
	}
}

// write writes text to a connection and reports success.
func (t *Responder) write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}
