/**
 * Mutation test of the guards: removes each guard in a copy of the sources and runs the tests that must then fail:
 * `node --import=tsx src/proof/guards/main.ts [--only TEXT]`. Lists guards whose removal no test detects.
 */
import {spawn} from 'node:child_process';
import {
	cpSync, existsSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import sade from 'sade';
import {packageRoot} from '../../stand-ins/program-files.ts';
import {type Guard, guards} from './guards.ts';

type Finding = 'noticed' | 'NOT NOTICED' | 'TEXT NOT FOUND';

/** Number of copies of the sources in which tests run at the same time. */
const maxConcurrentCopies = 3;
const copiedPaths = ['src', 'benchmark', 'charts', 'proto', 'examples', 'package.json', 'tsconfig.json'];
const testTimeoutMilliseconds = 120_000;

function makeCopy(): string {
	const folder = mkdtempSync(join(tmpdir(), 'jaydale-guards-'));
	for (const name of copiedPaths.filter(one => existsSync(join(packageRoot, one)))) {
		cpSync(join(packageRoot, name), join(folder, name), {recursive: true});
	}

	symlinkSync(join(packageRoot, 'node_modules'), join(folder, 'node_modules'));
	return folder;
}

async function runTests(folder: string, patterns: readonly string[]): Promise<boolean> {
	return new Promise(resolve => {
		const mocha = join('node_modules', 'mocha', 'bin', 'mocha.js');
		const child = spawn(process.execPath, [mocha, '--no-config', '--import=tsx', '--timeout', '60000', '--bail', ...patterns], {
			cwd: folder, stdio: 'ignore', env: {...process.env, CI: 'true'}, timeout: testTimeoutMilliseconds,
		});
		child.on('exit', code => {
			resolve(code === 0);
		});
	});
}

async function testWithoutGuard(folder: string, guard: Guard): Promise<Finding> {
	const path = join(folder, guard.file);
	const source = readFileSync(path, 'utf8');
	if (source.split(guard.text).length !== 2) {
		return 'TEXT NOT FOUND';
	}

	writeFileSync(path, source.replace(guard.text, () => guard.replacement));
	const isPassed = await runTests(folder, guard.tests);
	writeFileSync(path, source);
	return isPassed ? 'NOT NOTICED' : 'noticed';
}

async function main(only: string | undefined): Promise<number> {
	const pending = guards.filter(({name}) => only === undefined || name.includes(only));
	const count = pending.length;
	const unnoticed: string[] = [];
	const folders = Array.from({length: Math.min(maxConcurrentCopies, count)}, makeCopy);
	try {
		// If the tests fail with all guards in place, a failure would not show that a removal is detected.
		const patterns = [...new Set(pending.flatMap(({tests}) => tests))];
		if (!await runTests(folders[0]!, patterns)) {
			console.log('the tests fail with all guards in place, so no guard can be checked');
			return 1;
		}

		await Promise.all(folders.map(async folder => {
			for (let guard = pending.shift(); guard !== undefined; guard = pending.shift()) {
				const finding = await testWithoutGuard(folder, guard);
				console.log(`${finding.padEnd(14)} ${guard.name} (${guard.file})`);
				if (finding !== 'noticed') {
					unnoticed.push(guard.name);
				}
			}
		}));
	} finally {
		for (const folder of folders) {
			rmSync(folder, {recursive: true});
		}
	}

	console.log(`${count - unnoticed.length} of ${count} removals noticed; not noticed: ${unnoticed.join('; ') || 'none'}`);
	return unnoticed.length === 0 ? 0 : 1;
}

sade('guards', true)
	.option('--only', 'Check only guards whose names contain this text')
	.action(async (options: {readonly only?: string}) => {
		process.exitCode = await main(options.only);
	})
	.parse(process.argv);
