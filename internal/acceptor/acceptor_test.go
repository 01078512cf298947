package acceptor_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"magnoliahill.example/magnoliahill/internal/acceptor"
)

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: shop\r\n\r\n" }

func TestSilentConnectionIsClosedForANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t, acceptor.WithMaxConns(3))
		first, second, busy := h.connect(""), h.connect("GET /"), h.connect(get("/wait"))
		time.Sleep(2 * time.Second)
		is.Equal(h.connect(get("/")).status(), http.StatusOK)
		is.True(!first.isOpen())
		is.True(second.isOpen())
		is.True(busy.isOpen())
	})
}

func TestConnectionsThatMaySendARequestSoonAreNotClosedForNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t, acceptor.WithMaxConns(2))
		first, second := h.connect(""), h.connect("")
		is.Equal(h.connect(get("/")).status(), 0)
		is.True(first.isOpen())
		is.True(second.isOpen())
	})
}

func TestIdleConnectionIsClosedForANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t, acceptor.WithMaxConns(3))
		first, second, busy := h.connect(get("/")), h.connect(get("/")), h.connect(get("/wait"))
		is.Equal(first.status(), http.StatusOK)
		time.Sleep(time.Millisecond)
		is.Equal(second.status(), http.StatusOK)
		is.Equal(h.connect(get("/")).status(), http.StatusOK)
		is.True(!first.isOpen())
		is.True(second.isOpen())
		is.True(busy.isOpen())
	})
}

func TestConnectionWhoseResponseIsNotReadIsClosedForANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t, acceptor.WithMaxConns(2), acceptor.WithStallTimeout(time.Minute))
		stalled, busy := h.connect(get("/long")), h.connect(get("/wait"))
		is.Equal(h.connect(get("/")).status(), 0) // the client may read on
		time.Sleep(2 * time.Second)
		is.Equal(h.connect(get("/")).status(), http.StatusOK)
		is.Equal(stalled.status(), 0)
		is.True(busy.isOpen())
	})
}

func TestConnectionsInUseAreNotClosedForNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t, acceptor.WithMaxConns(2))
		first, second := h.connect(get("/wait")), h.connect(get("/wait"))
		time.Sleep(10 * time.Second)
		is.Equal(h.connect(get("/")).status(), 0)
		is.True(first.isOpen())
		is.True(second.isOpen())
	})
}

func TestClosedConnectionsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t, acceptor.WithMaxConns(2))
		for range 10 {
			c := h.connect(get("/wait"))
			is.NoErr(c.Close())
			synctest.Wait()
		}
		busy := h.connect(get("/wait"))
		is.Equal(h.connect(get("/")).status(), http.StatusOK)
		is.True(busy.isOpen())
	})
}

func TestWriteEndsIfTheClientReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t, acceptor.WithStallTimeout(time.Second))
		c := h.connect(get("/long"))
		time.Sleep(5 * time.Second)
		is.Equal(c.status(), 0)
	})
}

func TestSlowClientGetsItsWholeResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t, acceptor.WithStallTimeout(time.Second))
		c := h.connect(get("/long"))
		buffer := make([]byte, 16<<10)
		read := 0
		for read < 1<<20 {
			time.Sleep(900 * time.Millisecond)
			n, err := c.Read(buffer)
			is.NoErr(err)
			read += n
		}
	})
}

func TestHeadBeyondTheLimitIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t)
		h.acceptor.SetHeadLimits(acceptor.HeadLimits{Bytes: 16 << 10})
		is.Equal(h.connect("GET / HTTP/1.1\r\nHost: shop\r\nX-Long: "+strings.Repeat("x", 15<<10)+"\r\n\r\n").status(), http.StatusOK)
		rejected := h.connect("GET / HTTP/1.1\r\nHost: shop\r\nX-Long: " + strings.Repeat("x", 30<<10))
		is.Equal(rejected.status(), http.StatusRequestHeaderFieldsTooLarge)
		is.Equal(rejected.status(), 0) // there is one response
	})
}

func TestHeadHasALimitOnItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t)
		h.acceptor.SetHeadLimits(acceptor.HeadLimits{Timeout: 3 * time.Second})
		silent, first, later := h.connect(""), h.connect("GET / HTTP"), h.connect(get("/"))
		is.Equal(later.status(), http.StatusOK)
		time.Sleep(2 * time.Second)
		first.send("/1.1\r\nHost: shop\r\n\r\n")
		is.Equal(first.status(), http.StatusOK)
		later.send("GET / HTTP")
		time.Sleep(4 * time.Second)
		later.send("/1.1\r\nHost: shop\r\n\r\n")
		is.True(later.status() != http.StatusOK) // the server takes what it has for a malformed request
		silent.send(get("/"))                    // nothing of its head came before
		is.Equal(silent.status(), http.StatusOK)
	})
}

func TestHeadsTogetherStayWithinTheMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startHost(t, acceptor.WithMaxHeadBytes(40<<10))
		part := "GET / HTTP/1.1\r\nHost: shop\r\nX-Long: " + strings.Repeat("x", 15<<10)
		silent, first, second, third := h.connect(""), h.connect(part), h.connect(part), h.connect(part)
		is.True(!first.isOpen()) // its head is under way the longest
		for _, c := range []*client{second, third} {
			c.send("\r\n\r\n")
			is.Equal(c.status(), http.StatusOK)
		}
		is.True(silent.isOpen())
		last := h.connect(part)
		is.True(last.isOpen())
		_, err := io.WriteString(last.Conn, "\r\n\r\n")
		is.NoErr(err)
		is.Equal(last.status(), http.StatusOK)
	})
}
