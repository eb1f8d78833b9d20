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
	stateClaimed  = "claimed"
	stateDone     = "done"
	stateUnknown  = "unknown"
	stateReleased = "released"

	// claimTimeout bounds the claim's write and its settlement; a claim is only used within it, so that a host
	// paused between claim and call does not send a call that others have given up on.
	claimTimeout = 5 * time.Second
	// settlePause separates attempts to read back a write whose answer was lost.
	settlePause = 100 * time.Millisecond
	// recordTimeout bounds the background writes that end a claim.
	recordTimeout = 5 * time.Minute
	watchWait     = 10 * time.Second
	// writesPerClaim is used to keep calls within the write budget.
	writesPerClaim = 3
	// maxBodyBytes leaves room for the base64 form and the record's other fields within the service's limit of 1 MiB.
	maxBodyBytes = 700 << 10
)

type (
	// Records claims keys before their calls are sent and gives completed answers again; its fields are set before use.
	Records struct {
		KV          kvapi.Service
		Stats       *stats.Set
		Environment string
		Host        string
		Retention   func() time.Duration
		// Writes is this host's share of the service's write budget for records; nil means no limit.
		Writes *rate.Limiter

		writes sync.WaitGroup // background writes of records
	}

	// Response is a whole answer of a call.
	Response struct {
		Status      int    `json:"status"`
		ContentType string `json:"content_type"`
		Body        []byte `json:"body"`
		// Replayed is set when the answer comes from a record and the call was not run again.
		Replayed bool `json:"-"`
	}

	// Claim names one attempt at a call that must not repeat; Attempt is unique, Fingerprint identifies the content.
	Claim struct {
		Caller      string
		Key         string
		Attempt     string
		Fingerprint []byte
	}

	record struct {
		Attempt string    `json:"attempt"`
		Host    string    `json:"host"`
		State   string    `json:"state"`
		Print   string    `json:"print"`
		At      time.Time `json:"at"`
		Answer  *Response `json:"answer,omitempty"`
		TooBig  bool      `json:"too_big,omitempty"`
	}
)

// Run runs do at most once for the claim's caller and key within the retention time, and otherwise returns the recorded
// answer. do gets a context that the caller's departure does not cancel; its error must be an *answer.Error, and one
// with outcome not_run gives the key free.
func (b *Records) Run(ctx context.Context, c Claim, do func(context.Context) (*Response, error)) (*Response, error) {
	// A claim takes three writes: its lease, the record, and the record's end.
	if b.Writes != nil && !b.Writes.AllowN(time.Now(), writesPerClaim) {
		b.Stats.CountRejection("record_budget")
		return nil, unavailable(errors.New("this host's share of key-value writes is used up"))
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	began := time.Now()
	keep := b.Retention()
	e, err := b.claim(claimCtx, c, keep)
	if errors.Is(err, kvapi.ErrConflict) {
		return b.await(ctx, c)
	}
	if err != nil {
		b.Stats.CountRejection("record_unavailable")
		return nil, unavailable(err)
	}
	if time.Since(began) > claimTimeout {
		b.finish(e, c, stateReleased, nil)
		return nil, unavailable(errors.New("the claim took too long"))
	}
	// Another attempt may run once the record has gone, so this one must not begin after that.
	ends := began.Add(keep)
	doCtx, end := context.WithDeadline(context.WithoutCancel(ctx), ends)
	defer end()
	a, err := do(doCtx)
	b.settle(e, c, a, err)
	if err != nil && answer.From(err).Outcome == answer.NotRun && !time.Now().Before(ends) {
		return nil, unavailable(errors.New("the record was no longer kept when the attempt ended"))
	}
	return a, err
}

// Wait returns once no record is left to write; a planned stop calls it after the last answer.
func (b *Records) Wait() { b.writes.Wait() }

// settle records how the call ended; the caller's answer waits for the first attempt at the record only.
func (b *Records) settle(e kvapi.Entry, c Claim, a *Response, err error) {
	switch {
	case err == nil:
		b.finish(e, c, stateDone, a)
	case answer.From(err).Outcome == answer.NotRun:
		b.finish(e, c, stateReleased, nil)
	default:
		b.finish(e, c, stateUnknown, nil)
	}
}

// claim writes the record, or returns ErrConflict when another attempt has it.
func (b *Records) claim(ctx context.Context, c Claim, keep time.Duration) (kvapi.Entry, error) {
	lease, err := b.KV.Grant(ctx, keep)
	if err != nil {
		return kvapi.Entry{}, err
	}
	w := kvapi.Write{Key: b.key(c), Value: b.record(c, stateClaimed, nil), IfVersion: kvapi.IfAbsent, LeaseID: lease}
	e, err := b.put(ctx, w, c)
	if !errors.Is(err, kvapi.ErrConflict) {
		return e, err
	}
	old, rec, getErr := b.read(ctx, c)
	if getErr != nil || rec.State != stateReleased {
		return kvapi.Entry{}, err
	}
	w.IfVersion = old.Version
	return b.put(ctx, w, c)
}

// put writes the claim; after a lost answer it reads the attempt id back, and writes again under the same condition
// while the claim is not there, because the lost write may still arrive.
func (b *Records) put(ctx context.Context, w kvapi.Write, c Claim) (kvapi.Entry, error) {
	e, err := b.KV.Put(ctx, w)
	for errors.Is(err, kvapi.ErrOutcomeUnknown) {
		b.Stats.CountRetry("claim_answer_lost")
		if !clock.Sleep(ctx, settlePause) {
			b.releaseLater(c, w)
			return kvapi.Entry{}, err
		}
		e, err = b.putAgain(ctx, w, c)
	}
	return e, err
}

func (b *Records) putAgain(ctx context.Context, w kvapi.Write, c Claim) (kvapi.Entry, error) {
	e, err := b.KV.Put(ctx, w)
	if err == nil || errors.Is(err, kvapi.ErrLeaseNotFound) {
		return e, err
	}
	if !errors.Is(err, kvapi.ErrConflict) {
		// Also when this write certainly did not take effect, such as at a rate limit, the first one still may have.
		return e, errors.Wrap(kvapi.ErrOutcomeUnknown, err.Error())
	}
	found, rec, err := b.read(ctx, c)
	switch {
	case err != nil:
		return kvapi.Entry{}, errors.Wrap(kvapi.ErrOutcomeUnknown, err.Error())
	case rec.Attempt == c.Attempt:
		return found, nil
	default:
		return kvapi.Entry{}, kvapi.ErrConflict
	}
}

// releaseLater frees a claim whose write may have taken effect although its call is never sent.
func (b *Records) releaseLater(c Claim, w kvapi.Write) {
	b.writes.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		for clock.Sleep(ctx, settlePause) {
			e, rec, err := b.read(ctx, c)
			if err == nil && rec.Attempt == c.Attempt {
				b.write(ctx, e, c, b.record(c, stateReleased, nil))
				return
			}
			if err == nil && e.Version > w.IfVersion {
				return
			}
		}
	})
}

// finish records the end of the call in the background, so that a slow service does not hold up the answer.
func (b *Records) finish(e kvapi.Entry, c Claim, state string, a *Response) {
	done := make(chan struct{})
	b.writes.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		b.write(ctx, e, c, b.record(c, state, a))
	})
	select {
	case <-done:
	case <-time.After(settlePause):
	}
}

// write replaces the claim until it has taken effect or ctx ends; only this attempt writes after its claim.
func (b *Records) write(ctx context.Context, e kvapi.Entry, c Claim, value []byte) {
	for {
		_, err := b.KV.Put(ctx, kvapi.Write{Key: b.key(c), Value: value, IfVersion: e.Version, LeaseID: e.LeaseID})
		if err == nil || errors.Is(err, kvapi.ErrConflict) || errors.Is(err, kvapi.ErrLeaseNotFound) {
			return
		}
		b.Stats.CountRetry("record_write")
		if !clock.Sleep(ctx, settlePause) {
			b.Stats.CountEvent("record_write_abandoned")
			return
		}
	}
}

// await returns the answer of the attempt that holds the claim, within ctx.
func (b *Records) await(ctx context.Context, c Claim) (*Response, error) {
	after := int64(0)
	for {
		e, err := b.KV.Watch(ctx, b.key(c), after, watchWait)
		if err == nil {
			after = e.Revision
			a, ended, aErr := b.recorded(e, c)
			if ended {
				return a, aErr
			}
			continue
		}
		if ctx.Err() != nil {
			return nil, inProgress()
		}
		if !errors.Is(err, kvapi.ErrNoChange) {
			b.Stats.CountRejection("record_unavailable")
			return nil, unavailable(err)
		}
	}
}

func (b *Records) recorded(e kvapi.Entry, c Claim) (a *Response, ended bool, err error) {
	var rec record
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		return nil, true, unavailable(errors.Wrap(err, "record cannot be read"))
	}
	if rec.Print != printOf(c) {
		return nil, true, &answer.Error{
			Status: http.StatusUnprocessableEntity, Code: "key_reused", Outcome: answer.NotRun,
			Message: "the idempotency key was used with another request; this request was not run",
		}
	}
	switch rec.State {
	case stateDone:
		return b.replay(rec)
	case stateUnknown:
		return nil, true, &answer.Error{
			Status: http.StatusConflict, Code: "earlier_attempt_unknown", Outcome: answer.Unknown,
			Message: "an earlier attempt with this key may have run; it is not run again",
		}
	case stateReleased:
		return nil, true, &answer.Error{
			Status: http.StatusServiceUnavailable, Code: "earlier_attempt_refused", Outcome: answer.NotRun,
			Message: "the attempt with this key was not run; send the request again", RetryAfter: time.Second,
		}
	default:
		return nil, false, nil
	}
}

func (b *Records) replay(rec record) (*Response, bool, error) {
	if rec.Answer == nil {
		return nil, true, &answer.Error{
			Status: http.StatusConflict, Code: "answer_not_kept", Outcome: answer.Unknown,
			Message: "the request with this key was completed, but its answer was too large to keep",
		}
	}
	b.Stats.CountEvent("answer_replayed")
	a := *rec.Answer
	a.Replayed = true
	return &a, true, nil
}

func (b *Records) read(ctx context.Context, c Claim) (kvapi.Entry, record, error) {
	e, err := b.KV.Get(ctx, b.key(c))
	if err != nil {
		return kvapi.Entry{}, record{}, err
	}
	var rec record
	if err := json.Unmarshal(e.Value, &rec); err != nil {
		return e, record{}, errors.Wrap(err, "at-most-once record")
	}
	return e, rec, nil
}

func (b *Records) record(c Claim, state string, a *Response) []byte {
	rec := record{
		Attempt: c.Attempt, Host: b.Host, State: state, Print: printOf(c), At: time.Now().UTC(), Answer: a,
	}
	if a != nil && len(a.Body) > maxBodyBytes {
		rec.Answer = nil
		rec.TooBig = true
	}
	v, err := json.Marshal(rec)
	if err != nil {
		// The record holds only strings, bytes and times, which always have a JSON form.
		panic(err)
	}
	return v
}

func (b *Records) key(c Claim) string {
	sum := sha256.Sum256([]byte(c.Key))
	return "once/" + b.Environment + "/" + c.Caller + "/" + hex.EncodeToString(sum[:])
}

func printOf(c Claim) string {
	sum := sha256.Sum256(c.Fingerprint)
	return hex.EncodeToString(sum[:])
}
