package rig

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	"magnoliahill.example/magnoliahill/platform/standin"
)

// pagingStore answers as the project's stand-in for the store does, with a delay and with
// lists in pages.
type pagingStore struct {
	*standin.Store
	page  int           // objects in a page of a list
	delay time.Duration // of the link to the store, one way, and of the store itself
}

// ServeHTTP implements http.Handler.
func (s *pagingStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.delay)
	if s.page == 0 || r.Method != http.MethodGet || r.URL.Query().Has("Watch") {
		s.Store.ServeHTTP(w, r)
		return
	}
	recorded := httptest.NewRecorder()
	s.Store.ServeHTTP(recorded, r)
	var list struct {
		Items      []json.RawMessage `json:"items"`
		More       bool
		AtRevision int64
	}
	for name, values := range recorded.Header() {
		w.Header()[name] = values
	}
	if recorded.Code != http.StatusOK || json.Unmarshal(recorded.Body.Bytes(), &list) != nil {
		w.WriteHeader(recorded.Code)
		_, _ = w.Write(recorded.Body.Bytes())
		return
	}
	if len(list.Items) > s.page {
		list.Items, list.More = list.Items[:s.page], true
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": list.Items, "More": list.More, "AtRevision": list.AtRevision}) // fails only if the caller left
}
