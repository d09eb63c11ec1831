package site

import (
	"encoding/json"
	"net/http"
	"time"
)

// Instances returns the handler of the instance list and the instance orders.
func (s *Site) Instances() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machines", s.list)
	mux.HandleFunc("POST /machine-move", s.handleOrder)
	mux.HandleFunc("POST /machine-upkeep", s.handleOrder)
	return mux
}

func (s *Site) list(w http.ResponseWriter, _ *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := []map[string]any{}
	for _, name := range s.order {
		i := s.instances[name]
		row := map[string]any{
			"machine": name, "pool": i.pool, "state": "up", "zone": "z", "labels": []string{"a", i.rack},
			"capacity": map[string]int{"cpu": 4000, "mem-mb": 65536, "gpu": 0}, "id": "",
		}
		if i.away {
			row["state"] = "upkeep"
		}
		if i.executor != nil {
			row["id"] = i.executor.ID
		}
		rows = append(rows, row)
	}
	reply(w, http.StatusOK, map[string]any{"machines": rows, "next-token": nil})
}

type instanceOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
}

// handleOrder handles a move or maintenance order: it replaces the instance's executor after the downtime.
func (s *Site) handleOrder(w http.ResponseWriter, r *http.Request) {
	var b instanceOrder
	err := json.NewDecoder(r.Body).Decode(&b)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i, ok := s.instances[b.Machine]
	switch {
	case err != nil || !ok:
		w.WriteHeader(http.StatusBadRequest)
		return
	case b.Wave != 0 && s.maintained[b.Machine] == b.Wave, b.Pool != "" && i.pool == b.Pool:
		reply(w, http.StatusOK, nil)
		return
	case i.away:
		reply(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	if b.Wave != 0 {
		s.maintained[b.Machine] = b.Wave
		i.wave = b.Wave
		down := 0
		for _, x := range s.instances {
			if x.wave == b.Wave {
				down++
			}
		}
		s.observe(Upkeep{Instance: b.Machine, Wave: b.Wave, Down: down, At: time.Now()})
	} else {
		i.pool = b.Pool
	}
	s.replaceIncarnation(i)
	reply(w, http.StatusOK, nil)
}
