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
	// exportTimeout bounds the export of one prompt's blocks.
	exportTimeout = 30 * time.Second
	// maxConcurrentExports bounds the concurrent exports of an instance. The blocks of
	// further prompts are not exported and are prefilled again if the prompts return.
	maxConcurrentExports = 32
)

// keeper implements serve.BlockKeeper with a block.Keeper. It is safe for concurrent use.
type keeper struct {
	inner        *block.Keeper
	engineClient func(endpoint string) engine.Engine
	pieceTime    func(p serve.Prompt) time.Duration // time to prefill one piece
	log          *slog.Logger
	exportSlots  chan struct{}
	exports      sync.WaitGroup
}

// bringBack implements serve.BringBack: it holds the plan for bringing back the blocks
// of one prompt.
type bringBack struct {
	keeper *keeper
	prompt block.Prompt
	plan   block.BringBackPlan
}

// blockPrompt converts a prompt of the data path to a block.Prompt. It drops the keys from the first
// invalid one on.
func (k *keeper) blockPrompt(p serve.Prompt) block.Prompt {
	keys := make([]block.Key, 0, len(p.Keys))
	for _, text := range p.Keys {
		key, err := block.ParseKey(text)
		if err != nil {
			break
		}
		keys = append(keys, key)
	}
	return block.Prompt{
		Keys: keys, Weights: p.Weights, Class: p.Class,
		PieceTime: k.pieceTime(p), BlockBytes: int64(p.Model.BlockBytes),
	}
}

// PlanBringBack implements serve.BlockKeeper.
func (k *keeper) PlanBringBack(ctx context.Context, p serve.Prompt) serve.BringBack {
	prompt := k.blockPrompt(p)
	plan, err := k.inner.PlanBringBack(ctx, prompt)
	if err != nil {
		event.BringBackFailed.Log(k.log, slog.Any("error", err))
	}
	return &bringBack{keeper: k, prompt: prompt, plan: plan}
}

// Available implements serve.BringBack.
func (b *bringBack) Available() bool { return b.plan.BringBackCount > 0 }

// ImportTime implements serve.BringBack. The plan was made for an engine that has none of the
// prompt's pieces in its cache. For an engine that has some, ImportTime returns the fraction
// of the plan's expected time that corresponds to the missing pieces.
func (b *bringBack) ImportTime(_ string, missingPieces int) (time.Duration, bool) {
	pieces := len(b.prompt.Keys)
	if b.plan.BringBackCount == 0 || missingPieces == 0 || pieces == 0 {
		return 0, false
	}
	return b.plan.ExpectedTime * time.Duration(missingPieces) / time.Duration(pieces), true
}

// Import implements serve.BringBack.
func (b *bringBack) Import(ctx context.Context, endpoint string, cachedPieces int) error {
	if cachedPieces >= b.plan.BringBackCount {
		return nil
	}
	prompt := b.prompt
	prompt.Cached = cachedPieces
	remaining := b.plan
	remaining.Found = remaining.Found[cachedPieces:]
	remaining.BringBackCount -= cachedPieces
	if got := b.keeper.inner.BringBack(ctx, b.keeper.engineClient(endpoint), prompt, remaining); got < b.plan.BringBackCount {
		return &PartialError{Want: b.plan.BringBackCount, Got: got}
	}
	return nil
}

// RecordAnswer implements serve.BlockKeeper.
func (k *keeper) RecordAnswer(p serve.Prompt, endpoint string) {
	if len(p.Keys) == 0 {
		return
	}
	select {
	case k.exportSlots <- struct{}{}:
	default:
		return
	}
	k.exports.Go(func() {
		defer func() { <-k.exportSlots }()
		k.exportBlocks(p, endpoint)
	})
}

// exportBlocks has the endpoint's engine export those of the prompt's blocks that are worth
// keeping and that stores do not hold yet.
func (k *keeper) exportBlocks(p serve.Prompt, endpoint string) {
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	prompt := k.blockPrompt(p)
	plan, err := k.inner.PlanBringBack(ctx, prompt)
	if err == nil {
		_, err = k.inner.Export(ctx, k.engineClient(endpoint), prompt, len(plan.Found))
	}
	if err != nil {
		event.ExportFailed.Log(k.log, slog.String("endpoint", endpoint), slog.Any("error", err))
	}
}
