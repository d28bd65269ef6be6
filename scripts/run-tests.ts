/**
 * Test command: runs the type check, the linter and mocha, and prints `N passed, N failed` as its last line.
 * A failure listed in KNOWN-RED.txt is printed but does not fail the run; any other failure does.
 */
import {spawnSync} from 'node:child_process';
import {
	existsSync, mkdtempSync, readFileSync, rmSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {z} from 'zod';

const mochaReportSchema = z.object({
	passes: z.array(z.object({fullTitle: z.string()})),
	failures: z.array(z.object({fullTitle: z.string(), err: z.object({message: z.string().optional(), stack: z.string().optional()})})),
});
type MochaReport = z.infer<typeof mochaReportSchema>;

function runStep(name: string, command: string, parameters: readonly string[]): boolean {
	console.log(`${name}: ${command} ${parameters.join(' ')}`);
	const result = spawnSync(join('node_modules', '.bin', command), parameters, {stdio: 'inherit'});
	return result.status === 0;
}

/** Reads the titles of known failures: the text before the first ` | ` of each line. The rest of a line gives command, seed, finding and issue. */
function knownRedTitles(): ReadonlySet<string> {
	if (!existsSync('KNOWN-RED.txt')) {
		return new Set();
	}

	const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n').filter(line => line.trim() !== '');
	return new Set(lines.map(line => line.split(' | ')[0]!.trim()));
}

function runMocha(mochaArguments: readonly string[]): MochaReport | undefined {
	const folder = mkdtempSync(join(tmpdir(), 'jaydale-tests-'));
	const output = join(folder, 'report.json');
	runStep('tests', 'mocha', ['--exit', '--reporter', 'json', '--reporter-option', `output=${output}`, ...mochaArguments]);
	const report = existsSync(output) ? mochaReportSchema.parse(JSON.parse(readFileSync(output, 'utf8'))) : undefined;
	rmSync(folder, {recursive: true});
	return report;
}

function main(): number {
	const didChecksPass = runStep('types', 'tsc', ['-p', 'tsconfig.json']) && runStep('linter and formatter', 'xo', []);
	const report = runMocha(process.argv.slice(2));
	if (report === undefined) {
		console.log('0 passed, 1 failed');
		return 1;
	}

	const knownTitles = knownRedTitles();
	for (const failure of report.failures) {
		const label = knownTitles.has(failure.fullTitle) ? 'KNOWN RED' : 'FAILED';
		console.log(`${label}: ${failure.fullTitle}\n${failure.err.stack ?? failure.err.message ?? ''}`);
	}

	const unexpected = report.failures.filter(failure => !knownTitles.has(failure.fullTitle)).length + (didChecksPass ? 0 : 1);
	console.log(`${report.passes.length} passed, ${unexpected} failed`);
	return unexpected === 0 && report.passes.length > 0 ? 0 : 1;
}

process.exitCode = main();
