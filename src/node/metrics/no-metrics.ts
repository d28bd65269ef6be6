/** Metrics that go nowhere, for a VM whose settings ask for none. */
import {type Metrics} from './types.ts';

function ignore(): void {
	// Nobody listens.
}

/** Takes everything and sends nothing. */
export const noMetrics: Metrics = {
	callEnded: ignore,
	answerCut: ignore,
	evacuations: ignore,
	rateLimits: ignore,
	rateLimitUnreadable: ignore,
	configurationRejected: ignore,
	measured: ignore,
	platformCalled: ignore,
	peerTraffic: ignore,
	operatorAnswered: ignore,
	gauges: ignore,
};
