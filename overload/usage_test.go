package overload_test

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const sampleInterval = 50 * time.Millisecond

// usage is what a process holds at one moment.
type usage struct {
	resident int64 // bytes
	unread   int64 // bytes that its sockets have received and that it has not read
	sockets  int
}

// memory returns the bytes that count toward the process's limit.
func (u usage) memory() int64 { return u.resident + u.unread }

// usage returns what the process holds now. It is zero once the process has ended.
func (h *host) usage() usage {
	var u usage
	pid := h.command.Process.Pid
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return u
	}
	if fields := strings.Fields(string(statm)); len(fields) > 1 {
		pages, _ := strconv.ParseInt(fields[1], 10, 64) // 0 pages fail no bound, and the format is the kernel's
		u.resident = pages * int64(os.Getpagesize())
	}
	inodes := h.socketInodes(pid)
	u.sockets = len(inodes)
	tcp, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return u
	}
	defer func() { _ = tcp.Close() }()
	for lines := bufio.NewScanner(tcp); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 10 || !inodes[fields[9]] || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		u.unread += n
	}
	return u
}

const listening = "0A" // state of a socket in /proc/net/tcp

// socketInodes returns the inodes of a process's sockets.
func (h *host) socketInodes(pid int) map[string]bool {
	inodes := map[string]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return inodes
	}
	for _, entry := range entries {
		link, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if err != nil {
			continue // closed meanwhile
		}
		if inode, ok := strings.CutPrefix(link, "socket:["); ok {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}

// sampler records the highest usage of a process.
type sampler struct {
	mu      sync.Mutex
	memory  usage // when the most memory was in use
	sockets int
	stopped chan struct{}
	done    sync.WaitGroup
}

// startSampler samples the usage of the process until finish is called.
func (h *host) startSampler() *sampler {
	s := &sampler{stopped: make(chan struct{})}
	s.done.Go(func() {
		ticker := time.NewTicker(sampleInterval)
		defer ticker.Stop()
		for {
			s.add(h.usage())
			select {
			case <-ticker.C:
			case <-s.stopped:
				return
			}
		}
	})
	return s
}

func (s *sampler) add(u usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.memory() > s.memory.memory() {
		s.memory = u
	}
	s.sockets = max(s.sockets, u.sockets)
}

// finish returns the usage when the most memory was in use, and the most sockets that
// were open at one time.
func (s *sampler) finish() (usage, int) {
	close(s.stopped)
	s.done.Wait()
	return s.memory, s.sockets
}
