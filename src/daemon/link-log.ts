/** Logs and counts changes of the paths to backend servers: one line as this VM loses its links and one as it has regained them. */
import {type LinkChange} from '../common/links/types.ts';
import {type Logger} from '../node/logging/types.ts';
import {type Metrics} from '../node/metrics/types.ts';

export class LinkLog {
	private readonly _logger: Logger;
	private readonly _metrics: Metrics;
	private _lostLinks = 0;

	constructor(logger: Logger, metrics: Metrics) {
		this._logger = logger;
		this._metrics = metrics;
	}

	record({identity, service, state, via, direct, relayed, lostLinks}: LinkChange): void {
		this._metrics.linkChanged(state, lostLinks);
		const fields = {
			backendServer: identity, service, state, via, direct, relayed, lostLinks,
		};
		if (this._lostLinks === 0 && lostLinks > 0) {
			this._logger.warn('link to a backend server lost that other VMs may still have', fields);
		} else if (this._lostLinks > 0 && lostLinks === 0) {
			this._logger.info('links to all backend servers regained', fields);
		} else {
			this._logger.debug('path to a backend server changed', fields);
		}

		this._lostLinks = lostLinks;
	}
}
