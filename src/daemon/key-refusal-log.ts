/** Log lines and metrics of calls that were refused because they have no valid key of an organisation. */
import {type Instant} from '../common/model/units.ts';
import {type KeyRefusal} from '../node/front/types.ts';
import {LineBudget} from '../node/logging/line-budget.ts';
import {type Logger} from '../node/logging/types.ts';
import {keyRefusalReason, type Metrics} from '../node/metrics/types.ts';

/** Maximum lines per second. Low, since anyone can cause such a line without a key; the metric counts all of them. */
const maxLinesPerSecond = 5;

export class KeyRefusalLog {
	private readonly _logger: Logger;
	private readonly _metrics: Metrics;
	private readonly _lines = new LineBudget(maxLinesPerSecond);

	constructor(logger: Logger, metrics: Metrics) {
		this._logger = logger;
		this._metrics = metrics;
	}

	record({address, isKeySent, traceId, route}: KeyRefusal, now: Instant): void {
		this._metrics.keyRefused(isKeySent);
		const {isWritten, leftOut} = this._lines.admit(now);
		if (isWritten) {
			this._logger.info('call refused: no valid key of an organisation', {
				traceId,
				caller: address,
				reason: keyRefusalReason(isKeySent),
				...(route === undefined ? {} : {route}),
				...(leftOut === 0 ? {} : {leftOut}),
			});
		}
	}
}
