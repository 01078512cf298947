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

// controlHandler answers other hosts and operators.
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peerv1connect.NewPeerServiceHandler(&peerService{server: s}))
	mux.Handle(peerv1connect.NewOperatorServiceHandler(&operatorService{server: s}))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_ = s.recorder.WriteText(w)
	})
	return mux
}

// peerService answers other hosts.
type peerService struct {
	server *Server
}

// Exchange takes in what another host knows and answers with the own knowledge.
func (p *peerService) Exchange(_ context.Context, req *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	m := &received{base: base{done: make(chan struct{})}, req: req.Msg}
	if !p.server.loop.ask(m, m.done) {
		return nil, connect.NewError(connect.CodeUnavailable, errStopped)
	}
	return connect.NewResponse(m.resp), nil
}

// Ask gives a part of a limit to another host.
func (p *peerService) Ask(_ context.Context, req *connect.Request[peerv1.AskRequest]) (*connect.Response[peerv1.AskResponse], error) {
	transfer, ok := p.server.sharer.Give(p.server.clock.Now(), messenger.DecodeAsk(req.Msg))
	resp := &peerv1.AskResponse{}
	if ok {
		resp.Transfer = messenger.EncodeTransfer(transfer)
	}
	return connect.NewResponse(resp), nil
}

// HandOver takes over the parts of a host that stops.
func (p *peerService) HandOver(_ context.Context, req *connect.Request[peerv1.HandOverRequest]) (*connect.Response[peerv1.HandOverResponse], error) {
	now := p.server.clock.Now()
	for _, t := range req.Msg.GetTransfers() {
		p.server.sharer.Receive(now, messenger.DecodeTransfer(t))
	}
	p.server.kickPools()
	return connect.NewResponse(&peerv1.HandOverResponse{}), nil
}

// Fetch returns configuration files that this host holds.
func (p *peerService) Fetch(_ context.Context, req *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	m := &filesAsked{base: base{done: make(chan struct{})}, hashes: req.Msg.GetHashes()}
	if !p.server.loop.ask(m, m.done) {
		return nil, connect.NewError(connect.CodeUnavailable, errStopped)
	}
	return connect.NewResponse(&peerv1.FetchResponse{Files: m.files}), nil
}

// filesAsked asks for configuration files by hash.
type filesAsked struct {
	base
	hashes []string
	files  []*peerv1.File
}

func (m *filesAsked) apply(l *loop, _ time.Duration) {
	for _, hash := range m.hashes {
		if doc, ok := l.watcher.File(hash); ok {
			m.files = append(m.files, &peerv1.File{Name: doc.Name(), Data: doc.Data()})
		}
	}
}

// operatorService answers operators' commands.
type operatorService struct {
	server *Server
}

// Status returns what the host is doing.
func (o *operatorService) Status(context.Context, *connect.Request[peerv1.StatusRequest]) (*connect.Response[peerv1.StatusResponse], error) {
	s := o.server
	m := &statusAsked{base: base{done: make(chan struct{})}}
	if !s.loop.ask(m, m.done) {
		return nil, connect.NewError(connect.CodeUnavailable, errStopped)
	}
	resp := m.resp
	now := s.clock.Now()
	for _, limit := range s.sharer.Limits() {
		held, tokens := s.sharer.Held(now, limit.Name())
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
	resp.BrokenInvariants = s.invariants.Load()
	return connect.NewResponse(resp), nil
}

// statusAsked asks for the control state.
type statusAsked struct {
	base
	resp *peerv1.StatusResponse
}

func (m *statusAsked) apply(l *loop, now time.Duration) {
	roster := l.server.sharer.Roster()
	head := l.watcher.Head()
	m.resp = &peerv1.StatusResponse{
		Id: messenger.EncodeID(l.server.id), Zone: l.server.settings.Host().Zone(),
		State: string(l.hostState), Generation: head.Generation, ChangeId: head.ChangeID,
		Epoch: roster.Epoch, Confirmed: l.server.sharer.Confirmed(),
		StoreReachable: l.storeUp, StoreSilentMs: (now - l.storeNews).Milliseconds(),
	}
	for _, host := range l.tracker.Live(now) {
		m.resp.Hosts = append(m.resp.Hosts, messenger.EncodeBeats([]tracker.Beat{host.Beat})...)
	}
}

// Forget takes in an operator's word that a host has ended for good.
func (o *operatorService) Forget(_ context.Context, req *connect.Request[peerv1.ForgetRequest]) (*connect.Response[peerv1.ForgetResponse], error) {
	m := &forgotten{base: base{done: make(chan struct{})}, id: messenger.DecodeID(req.Msg.GetId())}
	if !o.server.loop.ask(m, m.done) {
		return nil, connect.NewError(connect.CodeUnavailable, errStopped)
	}
	return connect.NewResponse(&peerv1.ForgetResponse{}), nil
}

// forgotten is an operator's word that a host has ended.
type forgotten struct {
	base
	id tracker.HostID
}

func (m *forgotten) apply(l *loop, now time.Duration) { l.perform(l.shares.Forget(now, m.id)) }

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

// Charge is refused: this daemon's hosts hand over parts of limits instead.
func (p *peerService) Charge(context.Context, *connect.Request[peerv1.ChargeRequest]) (*connect.Response[peerv1.ChargeResponse], error) {
	return nil, connect.NewError(connect.CodeUnimplemented, errors.New("limits are divided by transfers"))
}

// Objects returns nothing: this daemon keeps its configuration as published
// files, which Fetch returns.
func (p *peerService) Objects(context.Context, *connect.Request[peerv1.ObjectsRequest]) (*connect.Response[peerv1.ObjectsResponse], error) {
	return connect.NewResponse(&peerv1.ObjectsResponse{}), nil
}
