/** Measuring calls: asks a backend server's load endpoint. Each counts against the measuring budget. */
import {request} from 'undici';
import {type CallEffect, type LoadReport} from '../../common/calls/types.ts';
import {loadPath} from '../../common/protocol/headers.ts';
import {parseLoadBody} from '../../common/protocol/load-report.ts';
import {type BackendConnections, originOf} from './backend-connections.ts';
import {type Measurer} from './call-carrier.ts';
import {type CallEventSink} from './types.ts';

const largestLoadBody = 4096;

/** Measures over the same connections as calls, so that it opens none of its own. */
export class LoadMeasurer implements Measurer {
	private readonly _connections: BackendConnections;

	constructor(connections: BackendConnections) {
		this._connections = connections;
	}

	measure(effect: CallEffect & {type: 'measure'}, sink: CallEventSink): void {
		void this._ask(effect).then(report => {
			sink.feed({type: 'measured', measurementId: effect.measurementId, report});
		});
	}

	private async _ask(effect: CallEffect & {type: 'measure'}): Promise<LoadReport | undefined> {
		try {
			const answer = await request(originOf(effect.address, effect.port) + loadPath, {
				dispatcher: this._connections.pool(effect),
				signal: AbortSignal.timeout(Math.ceil(effect.timeoutMilliseconds)),
			});
			const text = await answer.body.text();
			return text.length > largestLoadBody ? undefined : parseLoadBody(JSON.parse(text));
		} catch {
			// No answer in time, cut off or unreadable: the engine learns that there is no report.
			return undefined;
		}
	}
}

