/** `jaydale serve`: runs the balancer of one VM. */
import {failure, type Failure} from '../../common/errors/failure.ts';
import {type OperatorToken, type Settings} from '../../common/settings/settings.ts';
import {loadSettings, loadTokens} from '../../node/settings/load-settings.ts';
import {type ExitCode} from '../exit-codes.ts';
import {type CommandDefinition} from '../types.ts';
import {formatFailure} from '../format-failure.ts';
import {reportInvalidInput} from './report-invalid-input.ts';

/** Runs the daemon until its planned stop has finished. Passed in so that the other commands start without loading the daemon. */
export type RunDaemon = (settings: Settings, tokens: readonly OperatorToken[]) => Promise<ExitCode>;

/** Creates the command with the function that runs the daemon. */
export function serveCommand(runDaemon: RunDaemon): CommandDefinition {
	return {
		usage: 'serve',
		description: 'Run the balancer of one VM. SIGTERM, SIGINT or SIGHUP starts the planned stop, which interrupts no call.',
		options: [{name: 'settings', valueName: 'FILE', description: 'The VM\'s settings (TOML)'}],
		examples: ['serve --settings /etc/jaydale/vm.toml'],
		async run(context) {
			const file = context.options.text('settings');
			if (file === undefined) {
				return reportInvalidInput(context.terminal, failure('wrong-parameter', 'no settings file given; allowed: --settings FILE', {field: '--settings'}));
			}

			const loaded = loadSettings(file).andThen(settings => loadTokens(settings.operators.tokensFile).map(tokens => ({settings, tokens})));
			return loaded.isErr()
				? reportInvalidInput(context.terminal, ...loaded.error.map(cause => inFile(file, cause)))
				: runDaemon(loaded.value.settings, loaded.value.tokens);
		},
	};
}

function inFile(file: string, cause: Failure<string>): Failure<string> {
	return failure(cause.kind, formatFailure(cause), {field: file});
}
