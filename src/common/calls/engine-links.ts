/** Connects the paths to backend servers with the parts of an engine that use them. */
import {BackendLinks} from '../links/backend-links.ts';
import {type LinkChange} from '../links/types.ts';
import {type Instant, type RandomSource} from '../model/units.ts';
import {type AttemptRunner} from './attempts/attempt-runner.ts';
import {type EngineContext} from './engine-context.ts';
import {type ProcessEndJudge} from './health/process-end.ts';
import {type ServiceDirectory} from './service-directory.ts';

/** The parts that use links. */
export type LinkUsers = {
	readonly context: EngineContext;
	readonly directory: ServiceDirectory;
	readonly processEnds: ProcessEndJudge;
	readonly runner: AttemptRunner;
};

/** Creates the links of an engine. `users` is not called before the first event, since the parts are made after the links. */
export function createLinks(random: RandomSource, dataCentre: string, users: () => LinkUsers): BackendLinks {
	return new BackendLinks({
		random,
		dataCentre,
		targets: () => users().directory.allServers(),
		find: identity => users().directory.server(identity),
		takeProbe: (identity, now) => users().directory.tryTakeProbe(identity, now),
		loadPathOf: service => users().directory.loadPathOf(service),
		onCheck(check) {
			users().context.effects.push({type: 'check-link', check});
		},
		onChanged(change, now) {
			applyLinkChange(users(), change, now);
		},
		onEnded(identity, now) {
			const server = users().directory.server(identity);
			if (server !== undefined) {
				users().processEnds.onSign(server, server.report?.instance, 'connection-refused', now);
			}
		},
	});
}

function applyLinkChange({context, directory, runner}: LinkUsers, change: LinkChange, now: Instant): void {
	context.effects.push({type: 'link-changed', change});
	const server = directory.server(change.identity);
	if (server === undefined) {
		return;
	}

	directory.applyLinkState(server, change.state, now);
	if (change.state === 'relayed') {
		// Connections without a response may stay so; a retry on the new path gets an answer.
		runner.onReplaced(server, now);
	}
}
