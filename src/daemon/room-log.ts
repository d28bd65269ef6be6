/** Log lines and metrics of connections that were closed so that others have room. */
import {type Instant} from '../common/model/units.ts';
import {type ClosedForRoom} from '../node/front/connection-budget.ts';
import {LineBudget} from '../node/logging/line-budget.ts';
import {type Logger} from '../node/logging/types.ts';
import {type Metrics} from '../node/metrics/types.ts';

/** Maximum lines per second. Low, since anyone can cause such a line; the metric counts all of them. */
const maxLinesPerSecond = 2;

export class RoomLog {
	private readonly _logger: Logger;
	private readonly _metrics: Metrics;
	private readonly _lines = new LineBudget(maxLinesPerSecond);

	constructor(logger: Logger, metrics: Metrics) {
		this._logger = logger;
		this._metrics = metrics;
	}

	record({listener, reason}: ClosedForRoom, now: Instant): void {
		this._metrics.connectionClosedForRoom(listener, reason);
		const {isWritten, leftOut} = this._lines.admit(now);
		if (isWritten) {
			this._logger.warn('connection closed so that others have room', {listener, reason, ...(leftOut === 0 ? {} : {leftOut})});
		}
	}
}
