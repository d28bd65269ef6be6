/** Simulated time: tasks run in the order of their times, and those of one time in the order of their making. */

type Task = {readonly at: number; readonly run: () => void};

/** A party that asks for this many tasks within one instant is taken to be in a busy loop. */
const busyLoopTasks = 20_000;

export class Timeline {
	private readonly _tasks: Task[] = [];
	private _now = 0;
	/** Start of the tasks that are counted as one instant. */
	private _instant = 0;

	/** Milliseconds since the start; what the oracle's observer sees. */
	get now(): number {
		return this._now;
	}

	after(milliseconds: number, run: () => void): void {
		const at = this._now + Math.max(0, milliseconds);
		const position = this._tasks.findLastIndex(task => task.at <= at);
		this._tasks.splice(position + 1, 0, {at, run});
	}

	/** Runs all that is due within the time given. False if a party keeps asking for more at one instant. */
	advance(milliseconds: number): boolean {
		const until = this._now + milliseconds;
		let tasksAtInstant = 0;
		for (let task = this._tasks[0]; task !== undefined && task.at <= until; task = this._tasks[0]) {
			tasksAtInstant = task.at > this._instant + 0.01 ? 0 : tasksAtInstant + 1;
			if (tasksAtInstant > busyLoopTasks) {
				return false;
			}

			this._tasks.shift();
			this._now = task.at;
			this._instant = tasksAtInstant === 0 ? task.at : this._instant;
			task.run();
		}

		this._now = until;
		return true;
	}
}
