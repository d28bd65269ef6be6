/** Logs and counts changes of what this VM knows of calls that crash backend servers. */
import {type CallEffect, type PoisonRequestChange} from '../common/calls/types.ts';
import {type Logger} from '../node/logging/types.ts';
import {type Metrics} from '../node/metrics/types.ts';

/** Fingerprints listed in one log line. */
const maxListedSuspects = 8;

/** Most suspects of one crash are cleared by their next answer, which needs no line at the usual level. */
function clearingLevel({wasQuarantined, crashes}: PoisonRequestChange & {kind: 'cleared'}): 'warn' | 'info' | 'debug' {
	if (wasQuarantined) {
		return 'warn';
	}

	return crashes > 1 ? 'info' : 'debug';
}

export function reportPoisonRequestChange({change, quarantined}: CallEffect & {type: 'poison-request-changed'}, logger: Logger, metrics: Metrics): void {
	metrics.poisonRequests(change.kind, quarantined);
	switch (change.kind) {
		case 'crash': {
			const {crash, suspects, sign} = change;
			logger.warn('backend server crashed with calls in flight', {
				crash, sign, suspects: suspects.length, fingerprints: suspects.slice(0, maxListedSuspects).join(' '),
			});
			break;
		}

		case 'quarantined': {
			const {fingerprint, crashes} = change;
			logger.warn('call quarantined: it is the only one that was in flight at all of these crashes', {fingerprint, crashes, quarantined});
			break;
		}

		case 'cleared': {
			const {fingerprint, crashes, wasQuarantined, cause} = change;
			logger[clearingLevel(change)](wasQuarantined ? 'quarantine ended' : 'call no longer suspected of crashes', {
				fingerprint, crashes, cause, quarantined,
			});
			break;
		}
	}
}
