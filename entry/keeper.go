package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"redwingknot/block"
	"redwingknot/engine"
	"redwingknot/event"
	"redwingknot/serve"
)

const (
	// keepTimeout bounds the export of one prompt's blocks.
	keepTimeout = 30 * time.Second
	// keepsAtOnce bounds the exports that an instance has under way; more are
	// left out and will be recomputed on their return.
	keepsAtOnce = 32
)

// keeper lets the data path use the block keeper. It is safe for concurrent use.
type keeper struct {
	keeper  *block.Keeper
	engine  func(endpoint string) engine.Engine
	compute func(p serve.Prompt) time.Duration // of one piece
	log     *slog.Logger
	slots   chan struct{}
	running sync.WaitGroup
}

// returning is what stores keep of one prompt.
type returning struct {
	k      *keeper
	prompt block.Prompt
	found  block.BringBackPlan
}

func (k *keeper) prompt(p serve.Prompt) block.Prompt {
	keys := make([]block.Key, 0, len(p.Keys))
	for _, text := range p.Keys {
		key, err := block.ParseKey(text)
		if err != nil {
			break
		}
		keys = append(keys, key)
	}
	return block.Prompt{Keys: keys, Class: p.Class, PieceTime: k.compute(p), BlockBytes: int64(p.Model.BlockBytes)}
}

// PlanBringBack implements serve.BlockKeeper.
func (k *keeper) PlanBringBack(ctx context.Context, p serve.Prompt) serve.BringBack {
	prompt := k.prompt(p)
	found, err := k.keeper.PlanBringBack(ctx, prompt)
	if err != nil {
		event.BringBackFailed.Log(k.log, slog.Any("error", err))
	}
	return &returning{k: k, prompt: prompt, found: found}
}

// Available implements serve.BringBack.
func (r *returning) Available() bool { return r.found.Bring > 0 }

// ImportTime implements serve.BringBack. The plan was made for an engine that has no
// piece; one that has some needs a part of its time.
func (r *returning) ImportTime(_ string, missing int) (time.Duration, bool) {
	pieces := len(r.prompt.Keys)
	if r.found.Bring == 0 || missing == 0 || pieces == 0 {
		return 0, false
	}
	return r.found.ExpectedTime * time.Duration(missing) / time.Duration(pieces), true
}

// Import implements serve.BringBack.
func (r *returning) Import(ctx context.Context, endpoint string, cached int) error {
	if cached >= r.found.Bring {
		return nil
	}
	prompt := r.prompt
	prompt.Cached = cached
	rest := r.found
	rest.Found = rest.Found[cached:]
	rest.Bring -= cached
	if got := r.k.keeper.BringBack(ctx, r.k.engine(endpoint), prompt, rest); got < r.found.Bring {
		return &PartialError{Want: r.found.Bring, Got: got}
	}
	return nil
}

// RecordAnswer implements serve.BlockKeeper.
func (k *keeper) RecordAnswer(p serve.Prompt, endpoint string) {
	if len(p.Keys) == 0 {
		return
	}
	select {
	case k.slots <- struct{}{}:
	default:
		return
	}
	k.running.Go(func() {
		defer func() { <-k.slots }()
		k.keep(p, endpoint)
	})
}

func (k *keeper) keep(p serve.Prompt, endpoint string) {
	ctx, cancel := context.WithTimeout(context.Background(), keepTimeout)
	defer cancel()
	prompt := k.prompt(p)
	found, err := k.keeper.PlanBringBack(ctx, prompt)
	if err == nil {
		_, err = k.keeper.Export(ctx, k.engine(endpoint), prompt, len(found.Found))
	}
	if err != nil {
		event.ExportFailed.Log(k.log, slog.String("endpoint", endpoint), slog.Any("error", err))
	}
}
