/** Command line of the daemon alone, for tests and benchmarks: `node main.ts serve --settings FILE`. */
import process from 'node:process';
import sade from 'sade';
import {describeFailure} from '../common/errors/failure.ts';
import {loadSettings, loadTokens} from '../node/settings/load-settings.ts';
import {serve} from './serve.ts';

const badSettingsExitCode = 2;

async function run(path: string): Promise<number> {
	const loaded = loadSettings(path).andThen(settings => loadTokens(settings.operators.tokensFile).map(tokens => ({settings, tokens})));
	if (loaded.isErr()) {
		for (const problem of loaded.error) {
			console.error(describeFailure(problem));
		}

		return badSettingsExitCode;
	}

	return serve(loaded.value.settings, loaded.value.tokens);
}

const program = sade('jaydale-daemon');
program
	.command('serve', 'Runs the daemon of one entry VM')
	.option('--settings', 'Settings file (TOML)')
	.action(async (options: {readonly settings: string}) => {
		process.exitCode = await run(options.settings);
	});
program.parse(process.argv);
