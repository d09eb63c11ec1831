package platform

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"teaselloft/internal/protocol/etcd"
	"teaselloft/internal/standin/keyvalue"
)

// errTxn is returned for transactions outside the served subset.
var errTxn = errors.New("transaction needs one comparison of mod_revision and one put or delete of the same key")

func decodeRange(r etcd.RangeRequest) (keyvalue.Message, error) {
	return keyvalue.Range{Key: string(r.Key), End: string(r.RangeEnd), Limit: int(r.Limit)}, nil
}

func decodeTxn(t etcd.TxnRequest) (keyvalue.Message, error) {
	if len(t.Compare) != 1 || len(t.Success) != 1 {
		return nil, errTxn
	}
	compare, do := t.Compare[0], t.Success[0]
	if compare.Target != etcd.TargetModRevision || compare.Result != etcd.ResultEqual {
		return nil, errTxn
	}
	m := keyvalue.Swap{Key: string(compare.Key), Expected: compare.ModRevision}
	switch {
	case do.Put != nil && do.Delete == nil && string(do.Put.Key) == m.Key:
		m.Value = string(do.Put.Value)
		m.Lease = do.Put.Lease
	case do.Delete != nil && do.Put == nil && string(do.Delete.Key) == m.Key:
		m.Delete = true
	default:
		return nil, errTxn
	}
	return m, nil
}

func decodeGrant(g etcd.GrantRequest) (keyvalue.Message, error) {
	if g.TTL <= 0 {
		return nil, fmt.Errorf("TTL %d is not positive", g.TTL)
	}
	return keyvalue.Grant{Now: time.Now(), TTL: time.Duration(g.TTL) * time.Second}, nil
}

func decodeKeepAlive(l etcd.LeaseRequest) (keyvalue.Message, error) {
	return keyvalue.KeepAlive{Now: time.Now(), ID: l.ID}, nil
}

func decodeRevoke(l etcd.LeaseRequest) (keyvalue.Message, error) {
	return keyvalue.Revoke{ID: l.ID}, nil
}

// encode writes the answer to a call that is no watch.
func encode(w http.ResponseWriter, k Kind, e keyvalue.Effect) {
	switch e := e.(type) {
	case keyvalue.Pairs:
		write(w, http.StatusOK, encodePairs(e))
	case keyvalue.Swapped:
		write(w, http.StatusOK, etcd.TxnResponse{Header: header(e.Revision), Succeeded: e.Succeeded})
	case keyvalue.Leased:
		lease := etcd.LeaseResponse{Header: header(e.Revision), ID: e.ID, TTL: int64(e.TTL / time.Second)}
		if k == KindKeepAlive {
			write(w, http.StatusOK, etcd.KeepAliveResponse{Result: lease})
			return
		}
		write(w, http.StatusOK, lease)
	case keyvalue.Revoked:
		write(w, http.StatusOK, etcd.RevokeResponse{Header: header(e.Revision)})
	case keyvalue.Failed:
		fail(w, encodeFailed(e))
	case keyvalue.Opened, keyvalue.Cancelled, keyvalue.Notify:
		panic(fmt.Sprintf("platform stand-in: %T answers a watch only", e))
	default:
		panic(fmt.Sprintf("platform stand-in: unknown effect %T", e))
	}
}

func encodeFailed(f keyvalue.Failed) etcd.ErrorResponse {
	code := etcd.CodeInvalidArgument
	if f.Reason == keyvalue.ReasonNoLease {
		code = etcd.CodeNotFound
	}
	return etcd.ErrorResponse{Code: code, Message: string(f.Reason)}
}

func encodePairs(p keyvalue.Pairs) etcd.RangeResponse {
	r := etcd.RangeResponse{Header: header(p.Revision), Count: int64(p.Count), More: p.Count > len(p.Pairs)}
	for _, pair := range p.Pairs {
		r.Pairs = append(r.Pairs, encodePair(pair))
	}
	return r
}

func encodePair(p keyvalue.Pair) etcd.KeyValue {
	return etcd.KeyValue{
		Key:            []byte(p.Key),
		Value:          []byte(p.Value),
		CreateRevision: p.Created,
		ModRevision:    p.Modified,
		Version:        p.Version,
		Lease:          p.Lease,
	}
}

func header(revision int64) etcd.Header {
	return etcd.Header{Revision: revision}
}
