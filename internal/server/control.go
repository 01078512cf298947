package server

import (
	"context"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"magnoliahill.example/magnoliahill/internal/messenger"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1"
	"magnoliahill.example/magnoliahill/internal/messenger/peerv1/peerv1connect"
	"magnoliahill.example/magnoliahill/pkg/tracker"
)

var errStopped = errors.New("host has stopped")

// controlHandler returns the handler of requests from other hosts and
// operators.
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(&peerService{server: s}))
	mux.Handle(peerv1connect.NewOperatorServiceHandler(&operatorService{server: s}))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_ = s.recorder.WriteText(w)
	})
	return mux
}

// peerService serves the RPCs of other hosts.
type peerService struct {
	server *Server
}

// Exchange merges the state that another host sent and returns the state of
// this host.
func (p *peerService) Exchange(_ context.Context, req *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	m := &exchangeReceived{completion: completion{done: make(chan struct{})}, req: req.Msg}
	if !p.server.loop.sendAndWait(m, m.done) {
		return nil, connect.NewError(connect.CodeUnavailable, errStopped)
	}
	return connect.NewResponse(m.resp), nil
}

// Ask transfers a share of a limit to another host. The response has no
// transfer when there is nothing to give.
func (p *peerService) Ask(_ context.Context, req *connect.Request[peerv1.AskRequest]) (*connect.Response[peerv1.AskResponse], error) {
	transfer, ok := p.server.sharer.Grant(p.server.clock.Now(), messenger.DecodeAsk(req.Msg))
	resp := &peerv1.AskResponse{}
	if ok {
		resp.Transfer = messenger.EncodeTransfer(transfer)
	}
	return connect.NewResponse(resp), nil
}

// HandOver receives the shares of a host that stops.
func (p *peerService) HandOver(_ context.Context, req *connect.Request[peerv1.HandOverRequest]) (*connect.Response[peerv1.HandOverResponse], error) {
	now := p.server.clock.Now()
	for _, t := range req.Msg.GetTransfers() {
		p.server.sharer.ApplyTransfer(now, messenger.DecodeTransfer(t))
	}
	p.server.wakeAllWaiters()
	return connect.NewResponse(&peerv1.HandOverResponse{}), nil
}

// Fetch returns the requested configuration files that this host has.
func (p *peerService) Fetch(_ context.Context, req *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	m := &filesQuery{completion: completion{done: make(chan struct{})}, hashes: req.Msg.GetHashes()}
	if !p.server.loop.sendAndWait(m, m.done) {
		return nil, connect.NewError(connect.CodeUnavailable, errStopped)
	}
	return connect.NewResponse(&peerv1.FetchResponse{Files: m.files}), nil
}

// filesQuery asks the loop for configuration files by hash.
type filesQuery struct {
	completion
	hashes []string
	files  []*peerv1.File
}

func (m *filesQuery) apply(l *loop, _ time.Duration) {
	for _, hash := range m.hashes {
		if doc, ok := l.activator.File(hash); ok {
			m.files = append(m.files, &peerv1.File{Name: doc.Name(), Data: doc.Data()})
		}
	}
}

// operatorService serves the commands of operators.
type operatorService struct {
	server *Server
}

// Status returns the state of the host: control state, limits, backend servers,
// latencies and metrics.
func (o *operatorService) Status(context.Context, *connect.Request[peerv1.StatusRequest]) (*connect.Response[peerv1.StatusResponse], error) {
	s := o.server
	m := &statusQuery{completion: completion{done: make(chan struct{})}}
	if !s.loop.sendAndWait(m, m.done) {
		return nil, connect.NewError(connect.CodeUnavailable, errStopped)
	}
	resp := m.resp
	now := s.clock.Now()
	for _, limit := range s.sharer.Limits() {
		held, tokens := s.sharer.Share(now, limit.Name())
		resp.Limits = append(resp.Limits, &peerv1.LimitStatus{
			Name: limit.Name(), Total: messenger.EncodeAmount(limit.Total()),
			Held: messenger.EncodeAmount(held), Tokens: tokens,
		})
	}
	for name, p := range s.snapshot.Load().pools {
		for _, v := range p.router.Views() {
			resp.Backends = append(resp.Backends, &peerv1.BackendStatus{
				Service: name, Name: v.Name, Zone: v.Zone, State: string(v.State),
				InFlight: int32(v.InFlight), LatencyUs: v.Latency.Microseconds(),
			})
		}
	}
	for _, l := range s.recorder.Latency().Summaries() {
		resp.Latencies = append(resp.Latencies, &peerv1.LatencyStatus{
			Service: l.Service, Workspace: l.Workspace, Answered: l.Answered, OverRate: l.OverRate,
			RefusedOther: l.RefusedOther, Unknown: l.Unknown, Histogram: l.Encoded,
		})
	}
	var metrics strings.Builder
	_ = s.recorder.WriteText(&metrics)
	resp.Metrics = metrics.String()
	resp.BrokenInvariants = s.brokenInvariants.Load()
	return connect.NewResponse(resp), nil
}

// statusQuery asks the loop for the control state.
type statusQuery struct {
	completion
	resp *peerv1.StatusResponse
}

func (m *statusQuery) apply(l *loop, now time.Duration) {
	roster := l.server.sharer.Roster()
	head := l.activator.Head()
	m.resp = &peerv1.StatusResponse{
		Id: messenger.EncodeID(l.server.id), Zone: l.server.settings.Host().Zone(),
		State: string(l.hostState), Generation: head.Generation, ChangeId: head.ChangeID,
		Epoch: roster.Epoch, Confirmed: l.server.sharer.Confirmed(),
		StoreReachable: l.storeReachable, StoreSilentMs: (now - l.lastStoreContact).Milliseconds(),
	}
	for _, host := range l.tracker.Live(now) {
		m.resp.Hosts = append(m.resp.Hosts, messenger.EncodeHeartbeats([]tracker.Heartbeat{host.Heartbeat})...)
	}
}

// Forget records an operator's statement that a host has ended for good.
func (o *operatorService) Forget(_ context.Context, req *connect.Request[peerv1.ForgetRequest]) (*connect.Response[peerv1.ForgetResponse], error) {
	m := &forgetRequest{completion: completion{done: make(chan struct{})}, id: messenger.DecodeID(req.Msg.GetId())}
	if !o.server.loop.sendAndWait(m, m.done) {
		return nil, connect.NewError(connect.CodeUnavailable, errStopped)
	}
	return connect.NewResponse(&peerv1.ForgetResponse{}), nil
}

// forgetRequest is the message that an operator states that a host has ended
// for good.
type forgetRequest struct {
	completion
	id tracker.HostID
}

func (m *forgetRequest) apply(l *loop, now time.Duration) {
	l.performActions(l.shareController.DeclareDead(now, m.id))
}

// TimeLine returns the host's events.
func (o *operatorService) TimeLine(context.Context, *connect.Request[peerv1.TimeLineRequest]) (*connect.Response[peerv1.TimeLineResponse], error) {
	events, total := o.server.recorder.TimeLine().Events()
	resp := &peerv1.TimeLineResponse{Total: total}
	for _, e := range events {
		resp.Events = append(resp.Events, &peerv1.Event{
			Stamp: messenger.EncodeStamp(e.Stamp), Host: e.Host, Kind: string(e.Kind),
			Subject: e.Subject, Text: e.Text,
		})
	}
	return connect.NewResponse(resp), nil
}

// Charge is not implemented: the hosts of this daemon transfer shares of limits
// instead.
func (p *peerService) Charge(context.Context, *connect.Request[peerv1.ChargeRequest]) (*connect.Response[peerv1.ChargeResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("limits are divided by transfers"))
}

// Objects returns nothing: this daemon keeps its configuration as published
// files, which Fetch returns.
func (p *peerService) Objects(context.Context, *connect.Request[peerv1.ObjectsRequest]) (*connect.Response[peerv1.ObjectsResponse], error) {
	return connect.NewResponse(&peerv1.ObjectsResponse{}), nil
}
