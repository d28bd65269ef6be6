/** Log lines and metrics of what found no room in memory. */
import {Disposable} from '../common/lifecycle/disposable.ts';
import {type Clock} from '../node/clock.ts';
import {LineBudget} from '../node/logging/line-budget.ts';
import {type Logger} from '../node/logging/types.ts';
import {type HeldMemory} from '../node/memory/held-memory.ts';
import {type Metrics} from '../node/metrics/types.ts';

/** Maximum lines per second of each kind. Low, since anyone can cause such a line; the metric counts all refusals. */
const maxLinesPerSecond = 1;

const messages = {
	bodies: 'no room in memory: calls refused before their bodies were complete',
	peerMessages: 'no room in memory: messages of other VMs refused',
	answers: 'no room in memory: answers forwarded before they were complete',
} as const;

export class HeldMemoryLog extends Disposable {
	constructor(heldMemory: HeldMemory, clock: Clock, logger: Logger, metrics: Metrics) {
		super();
		for (const kind of ['bodies', 'peerMessages', 'answers'] as const) {
			const lines = new LineBudget(maxLinesPerSecond);
			this._register(heldMemory[kind].onRefused(() => {
				metrics.memoryRefused(kind);
				const {isWritten, leftOut} = lines.admit(clock.now());
				if (isWritten) {
					logger.warn(messages[kind], {heldBytes: heldMemory[kind].heldBytes, ...(leftOut === 0 ? {} : {leftOut})});
				}
			}));
		}
	}
}
