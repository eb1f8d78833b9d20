package idem

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/figreel/figreel/internal/clock"
	"github.com/figreel/figreel/internal/kvapi"
	"github.com/figreel/figreel/internal/stats"
	"github.com/figreel/figreel/pkg/answer"
)

const (
	// The states of a record. A claimed one ends as done (the response is stored, unless it is too large), unknown (the
	// call may have been executed) or released (it was not executed, so another attempt may claim the key).
	stateClaimed  = "claimed"
	stateDone     = "done"
	stateUnknown  = "unknown"
	stateReleased = "released"

	// claimTimeout bounds the write of a claim, including the retries that resolve its outcome. A claim that took
	// longer is not used: a host that was paused between claim and call must not send a call that others no longer
	// wait for.
	claimTimeout = 5 * time.Second
	// retryDelay is the time between retries of reads and writes of records, and the longest time that a response waits
	// for its record to be written.
	retryDelay = 100 * time.Millisecond
	// recordWriteTimeout bounds the retries of a background write that ends a claim.
	recordWriteTimeout = 5 * time.Minute
	// watchTimeout bounds one watch call for another attempt's result; the watch is repeated until its context ends.
	watchTimeout = 10 * time.Second
	// writesPerClaim is what a call takes from the write budget: the grant of its lease, the claim and the claim's end.
	writesPerClaim = 3
	// maxBodyBytes leaves room for the base64 form and the record's other fields within the service's limit of 1 MiB.
	maxBodyBytes = 700 << 10
)

type (
	// Records claims idempotency keys before their calls are executed and replays the responses of completed calls; its
	// exported fields are set before use.
	Records struct {
		KV          kvapi.Service
		Stats       *stats.Set
		Environment string
		Host        string
		// Retention returns how long a record is kept after its claim.
		Retention func() time.Duration
		// Writes limits this host's writes per second to its share of the key-value service's write budget; nil means
		// no limit.
		Writes *rate.Limiter

		writes sync.WaitGroup // background writes of records
	}

	// Response is the complete response of a call.
	Response struct {
		Status      int    `json:"status"`
		ContentType string `json:"content_type"`
		Body        []byte `json:"body"`
		// Replayed is set if the response comes from a record and this attempt was not executed.
		Replayed bool `json:"-"`
	}

	// Claim identifies one attempt at a non-idempotent call. Attempt is unique to the attempt. Fingerprint is the
	// content of the request; it serves to detect a key that is reused for another request.
	Claim struct {
		Caller      string
		Key         string
		Attempt     string
		Fingerprint []byte
	}

	// record is the stored value of a key. Fingerprint is the hex SHA-256 of the claim's Fingerprint; TooBig is set if
	// the response was too large to store.
	record struct {
		Attempt     string    `json:"attempt"`
		Host        string    `json:"host"`
		State       string    `json:"state"`
		Fingerprint string    `json:"print"`
		At          time.Time `json:"at"`
		Response    *Response `json:"answer,omitempty"`
		TooBig      bool      `json:"too_big,omitempty"`
	}
)

// Run executes do at most once for the claim's caller and key within the retention time, and otherwise returns the
// recorded result. do gets a context that is not cancelled when the client disconnects. Its error must be an
// *answer.Error, as is that of Run; one with outcome not_run releases the key for another attempt.
func (rs *Records) Run(ctx context.Context, c Claim, do func(context.Context) (*Response, error)) (*Response, error) {
	if rs.Writes != nil && !rs.Writes.AllowN(time.Now(), writesPerClaim) {
		rs.Stats.CountRejection("record_budget")
		return nil, unavailableError(errors.New("this host's share of key-value writes is used up"))
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	started := time.Now()
	retention := rs.Retention()
	e, err := rs.claim(claimCtx, c, retention)
	if errors.Is(err, kvapi.ErrConflict) {
		return rs.waitForResult(ctx, c)
	}
	if err != nil {
		rs.Stats.CountRejection("record_unavailable")
		return nil, unavailableError(err)
	}
	if time.Since(started) > claimTimeout {
		rs.endClaim(e, c, stateReleased, nil)
		return nil, unavailableError(errors.New("writing the claim took too long"))
	}
	// The record is deleted when the retention time ends. Another attempt may be executed from then on, so the context
	// of do ends at the same time.
	expiresAt := started.Add(retention)
	doCtx, cancelDo := context.WithDeadline(context.WithoutCancel(ctx), expiresAt)
	defer cancelDo()
	resp, err := do(doCtx)
	rs.recordOutcome(e, c, resp, err)
	if err != nil && answer.From(err).Outcome == answer.NotRun && !time.Now().Before(expiresAt) {
		return nil, unavailableError(errors.New("the record expired before the attempt ended"))
	}
	return resp, err
}

// Wait returns once all background writes of records have ended; a graceful shutdown calls it after the last response.
func (rs *Records) Wait() { rs.writes.Wait() }

// recordOutcome records how the call ended; the response waits for this only briefly (see endClaim).
func (rs *Records) recordOutcome(e kvapi.Entry, c Claim, resp *Response, err error) {
	switch {
	case err == nil:
		rs.endClaim(e, c, stateDone, resp)
	case answer.From(err).Outcome == answer.NotRun:
		rs.endClaim(e, c, stateReleased, nil)
	default:
		rs.endClaim(e, c, stateUnknown, nil)
	}
}

// claim writes a record in state claimed, replacing a released one. It returns kvapi.ErrConflict if the existing record
// is not released or can't be read.
func (rs *Records) claim(ctx context.Context, c Claim, retention time.Duration) (kvapi.Entry, error) {
	lease, err := rs.KV.Grant(ctx, retention)
	if err != nil {
		return kvapi.Entry{}, err
	}
	w := kvapi.Write{
		Key: rs.recordKey(c), Value: rs.encodeRecord(c, stateClaimed, nil), IfVersion: kvapi.IfAbsent, LeaseID: lease,
	}
	e, err := rs.putClaim(ctx, w, c)
	if !errors.Is(err, kvapi.ErrConflict) {
		return e, err
	}
	old, rec, getErr := rs.readRecord(ctx, c)
	if getErr != nil || rec.State != stateReleased {
		return kvapi.Entry{}, err
	}
	w.IfVersion = old.Version
	return rs.putClaim(ctx, w, c)
}

// putClaim writes the claim. If the outcome is unknown, it repeats the write under the same condition until the outcome
// is certain, because the first write may still take effect.
func (rs *Records) putClaim(ctx context.Context, w kvapi.Write, c Claim) (kvapi.Entry, error) {
	e, err := rs.KV.Put(ctx, w)
	for errors.Is(err, kvapi.ErrOutcomeUnknown) {
		rs.Stats.CountRetry("claim_answer_lost")
		if !clock.Sleep(ctx, retryDelay) {
			rs.releaseInBackground(c, w)
			return kvapi.Entry{}, err
		}
		e, err = rs.retryClaim(ctx, w, c)
	}
	return e, err
}

// retryClaim repeats the write of a claim. A conflict may come from the first write, so it then reads the record and
// compares the attempt.
func (rs *Records) retryClaim(ctx context.Context, w kvapi.Write, c Claim) (kvapi.Entry, error) {
	e, err := rs.KV.Put(ctx, w)
	if err == nil || errors.Is(err, kvapi.ErrLeaseNotFound) {
		return e, err
	}
	if !errors.Is(err, kvapi.ErrConflict) {
		// Even if this write certainly had no effect, such as one that was rate-limited, the first one may have had.
		return e, errors.Wrap(kvapi.ErrOutcomeUnknown, err.Error())
	}
	found, rec, err := rs.readRecord(ctx, c)
	switch {
	case err != nil:
		return kvapi.Entry{}, errors.Wrap(kvapi.ErrOutcomeUnknown, err.Error())
	case rec.Attempt == c.Attempt:
		return found, nil
	default:
		return kvapi.Entry{}, kvapi.ErrConflict
	}
}

// releaseInBackground releases a claim whose call is not executed but whose write may still take effect. It stops once
// another attempt has claimed the key, because the write can then no longer take effect.
func (rs *Records) releaseInBackground(c Claim, w kvapi.Write) {
	rs.writes.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordWriteTimeout)
		defer cancel()
		for clock.Sleep(ctx, retryDelay) {
			e, rec, err := rs.readRecord(ctx, c)
			if err == nil && rec.Attempt == c.Attempt {
				rs.replaceClaim(ctx, e, c, rs.encodeRecord(c, stateReleased, nil))
				return
			}
			if err == nil && e.Version > w.IfVersion {
				return
			}
		}
	})
}

// endClaim records the end of the call. It waits at most retryDelay for the write, which otherwise continues in the
// background, so that a slow key-value service does not delay the response.
func (rs *Records) endClaim(e kvapi.Entry, c Claim, state string, resp *Response) {
	done := make(chan struct{})
	rs.writes.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), recordWriteTimeout)
		defer cancel()
		rs.replaceClaim(ctx, e, c, rs.encodeRecord(c, state, resp))
	})
	select {
	case <-done:
	case <-time.After(retryDelay):
	}
}

// replaceClaim retries writing value over the claim until that has taken effect or ctx ends. A conflict means that an
// earlier try took effect, because no other attempt writes to a claimed record.
func (rs *Records) replaceClaim(ctx context.Context, e kvapi.Entry, c Claim, value []byte) {
	for {
		_, err := rs.KV.Put(ctx, kvapi.Write{
			Key: rs.recordKey(c), Value: value, IfVersion: e.Version, LeaseID: e.LeaseID,
		})
		if err == nil || errors.Is(err, kvapi.ErrConflict) || errors.Is(err, kvapi.ErrLeaseNotFound) {
			return
		}
		rs.Stats.CountRetry("record_write")
		if !clock.Sleep(ctx, retryDelay) {
			rs.Stats.CountEvent("record_write_abandoned")
			return
		}
	}
}

// waitForResult returns the result of the attempt that holds the claim, or an in_progress error if ctx ends first.
func (rs *Records) waitForResult(ctx context.Context, c Claim) (*Response, error) {
	after := int64(0)
	for {
		e, err := rs.KV.Watch(ctx, rs.recordKey(c), after, watchTimeout)
		if err == nil {
			after = e.Revision
			resp, ended, resultErr := rs.recordedResult(e, c)
			if ended {
				return resp, resultErr
			}
			continue
		}
		if ctx.Err() != nil {
			return nil, inProgressError()
		}
		if !errors.Is(err, kvapi.ErrNoChange) {
			rs.Stats.CountRejection("record_unavailable")
			return nil, unavailableError(err)
		}
	}
}

// recordedResult returns the result of the recorded attempt, with ended false while it is in progress, or a key_reused
// error if the record belongs to another request.
func (rs *Records) recordedResult(e kvapi.Entry, c Claim) (resp *Response, ended bool, err error) {
	var rec record
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		return nil, true, unavailableError(errors.Wrap(err, "decode idempotency record"))
	}
	if rec.Fingerprint != fingerprintOf(c) {
		return nil, true, &answer.Error{
			Status: http.StatusUnprocessableEntity, Code: "key_reused", Outcome: answer.NotRun,
			Message: "the idempotency key was used with another request; this request was not executed",
		}
	}
	switch rec.State {
	case stateDone:
		return rs.replay(rec)
	case stateUnknown:
		return nil, true, &answer.Error{
			Status: http.StatusConflict, Code: "earlier_attempt_unknown", Outcome: answer.Unknown,
			Message: "an earlier attempt with this key may have been executed; this one was not",
		}
	case stateReleased:
		return nil, true, &answer.Error{
			Status: http.StatusServiceUnavailable, Code: "earlier_attempt_refused", Outcome: answer.NotRun,
			Message: "the attempt with this key was not executed; send the request again", RetryAfter: time.Second,
		}
	default:
		return nil, false, nil
	}
}

// replay returns the recorded response, or an answer_not_kept error if it was too large to store.
func (rs *Records) replay(rec record) (*Response, bool, error) {
	if rec.Response == nil {
		return nil, true, &answer.Error{
			Status: http.StatusConflict, Code: "answer_not_kept", Outcome: answer.Unknown,
			Message: "the request with this key was completed, but its response was too large to store",
		}
	}
	rs.Stats.CountEvent("answer_replayed")
	resp := *rec.Response
	resp.Replayed = true
	return &resp, true, nil
}

func (rs *Records) readRecord(ctx context.Context, c Claim) (kvapi.Entry, record, error) {
	e, err := rs.KV.Get(ctx, rs.recordKey(c))
	if err != nil {
		return kvapi.Entry{}, record{}, err
	}
	var rec record
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		return e, record{}, errors.Wrap(err, "decode idempotency record")
	}
	return e, rec, nil
}

func (rs *Records) encodeRecord(c Claim, state string, resp *Response) []byte {
	rec := record{
		Attempt: c.Attempt, Host: rs.Host, State: state, Fingerprint: fingerprintOf(c), At: time.Now().UTC(),
		Response: resp,
	}
	if resp != nil && len(resp.Body) > maxBodyBytes {
		rec.Response = nil
		rec.TooBig = true
	}
	v, err := json.Marshal(rec)
	if err != nil {
		// A record consists of strings, bytes, numbers and times, which JSON can always encode.
		panic(err)
	}
	return v
}

func (rs *Records) recordKey(c Claim) string {
	sum := sha256.Sum256([]byte(c.Key))
	return "once/" + rs.Environment + "/" + c.Caller + "/" + hex.EncodeToString(sum[:])
}

func fingerprintOf(c Claim) string {
	sum := sha256.Sum256(c.Fingerprint)
	return hex.EncodeToString(sum[:])
}
