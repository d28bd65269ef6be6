/** A program of ours as a process of its own, ended by its process id. */
import {type ChildProcess, spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {failure, type Failure} from '../common/errors/failure.ts';
import {Disposable, toDisposable} from '../common/lifecycle/disposable.ts';
import {Emitter} from '../common/lifecycle/emitter.ts';
import {type ModuleFiles, ownFiles, packageRoot} from './program-files.ts';

/** Why a program is not there. */
export type ProgramFailure = Failure<'not-started'>;

/** The ready line of the stand-ins. */
const readySchema = z.object({listening: z.int(), ports: z.array(z.int()).optional()});
export type ReadyLine = z.infer<typeof readySchema>;

const maxErrorLines = 20;
const startTimeoutMilliseconds = 30_000;

/** What to run. */
export type ProgramSettings = {
	/** Path without ending, such as `src/stand-ins/platform/main`. */
	readonly program: string;
	readonly parameters: readonly string[];
	/** Modules of ours that are loaded first, by path. */
	readonly preloads?: readonly string[];
	/** Sources or built files; as this process runs, if not given. */
	readonly files?: ModuleFiles;
	/** Options for node itself, such as `--cpu-prof`. */
	readonly nodeOptions?: readonly string[];
};

/** Started at construction; a disposal kills it if it still runs. */
export class ChildProgram extends Disposable {
	private readonly _child: ChildProcess;
	private readonly _errorLines: string[] = [];
	private readonly _onErrorLine = this._register(new Emitter<string>());
	private readonly _ready: Promise<Result<ReadyLine, ProgramFailure>>;
	private readonly _exit: Promise<number | undefined>;

	/** A line on its stream for errors. */
	readonly onErrorLine = this._onErrorLine.event;

	constructor(settings: ProgramSettings) {
		super();
		const {loader, file} = settings.files ?? ownFiles;
		const preloaded = (settings.preloads ?? []).map(module => `--import=${file(module)}`);
		// The loader of TypeScript comes first: what an option imports may be TypeScript too.
		this._child = spawn(process.execPath, [...loader, ...preloaded, ...(settings.nodeOptions ?? []), file(settings.program), ...settings.parameters], {
			cwd: packageRoot,
			stdio: ['ignore', 'pipe', 'pipe'],
		});
		this._register(toDisposable(() => {
			this._child.kill('SIGKILL');
		}));
		this._exit = this._waitForExit();
		this._ready = this._waitForReady(settings.program);
		this._collectErrorLines();
	}

	/** Process id. */
	get pid(): number {
		return this._child.pid ?? 0;
	}

	/** Exit code so far; undefined while it runs. */
	get exitCode(): number | undefined {
		return this._child.exitCode ?? undefined;
	}

	/** True until it has ended, by itself or by a signal. */
	get isRunning(): boolean {
		return this._child.exitCode === null && this._child.signalCode === null;
	}

	/** The latest lines that it wrote for people. */
	get lastErrors(): string {
		return this._errorLines.join('\n');
	}

	/** Resolves with the ready line of a stand-in. */
	async ready(): Promise<Result<ReadyLine, ProgramFailure>> {
		return this._ready;
	}

	/** Asks it to end and waits, at most for the time given; then it is killed. Undefined = killed. */
	async stop(timeoutMilliseconds: number): Promise<number | undefined> {
		this._child.kill('SIGTERM');
		const timer = setTimeout(() => {
			this._child.kill('SIGKILL');
		}, timeoutMilliseconds);
		const code = await this._exit;
		clearTimeout(timer);
		return code;
	}

	/** Sends it a signal. */
	signal(name: NodeJS.Signals): void {
		this._child.kill(name);
	}

	/** Kills it at once, as a crash of its VM would. */
	kill(): void {
		this._child.kill('SIGKILL');
	}

	private async _waitForExit(): Promise<number | undefined> {
		if (this._child.exitCode === null) {
			await once(this._child, 'exit');
		}

		return this._child.exitCode ?? undefined;
	}

	private async _waitForReady(program: string): Promise<Result<ReadyLine, ProgramFailure>> {
		return new Promise(resolve => {
			const fail = (reason: string): void => {
				resolve(err(failure('not-started', `${program}: ${reason}: ${this.lastErrors}`)));
			};

			const timer = setTimeout(fail, startTimeoutMilliseconds, 'no ready line in time');
			this._child.once('exit', code => {
				fail(`ended with ${String(code)}`);
			});
			createInterface({input: this._child.stdout!}).on('line', line => {
				const ready = line.startsWith('{"listening"') ? readySchema.safeParse(JSON.parse(line)) : undefined;
				if (ready?.success === true) {
					clearTimeout(timer);
					resolve(ok(ready.data));
				}
			});
			this._register(toDisposable(() => {
				clearTimeout(timer);
			}));
		});
	}

	private _collectErrorLines(): void {
		createInterface({input: this._child.stderr!}).on('line', line => {
			this._onErrorLine.fire(line);
			this._errorLines.push(line);
			if (this._errorLines.length > maxErrorLines) {
				this._errorLines.shift();
			}
		});
	}
}
