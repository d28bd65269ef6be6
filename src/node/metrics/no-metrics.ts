/** Discards all metrics, for a VM whose settings disable them. */
import {type Metrics} from './types.ts';

function ignore(): void {
	// Metrics are disabled.
}

/** An implementation of `Metrics` without effects. */
export const noMetrics: Metrics = {
	callEnded: ignore,
	organisationCallEnded: ignore,
	keyRefused: ignore,
	answerCut: ignore,
	connectionClosedForRoom: ignore,
	evacuations: ignore,
	storeEra: ignore,
	rateLimits: ignore,
	rateLimitUnreadable: ignore,
	poisonRequests: ignore,
	linkChanged: ignore,
	attemptStarted: ignore,
	tunnelRequested: ignore,
	configurationRejected: ignore,
	loadProbeSent: ignore,
	platformCalled: ignore,
	peerTraffic: ignore,
	operatorAnswered: ignore,
	limitDatagram: ignore,
	limitRights: ignore,
	unexpectedError: ignore,
	memoryRefused: ignore,
	gauges: ignore,
};
