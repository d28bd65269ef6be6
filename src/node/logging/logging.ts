/** Log of the process, written through tslog as JSON lines or as text for people. */
import process from 'node:process';
import {Logger as TslogLogger} from 'tslog';
import {type LogLevel, type Settings} from '../../common/settings/settings.ts';
import {type LogControl, type LogFields, type Logger} from './types.ts';

/** tslog's numbers of the levels in the settings. */
const levelNumbers: Readonly<Record<LogLevel, number>> = {
	trace: 1,
	debug: 2,
	info: 3,
	warn: 4,
	error: 5,
};

/** Fields whose values are always masked. */
const secretFields = ['token', 'authorization', 'cookie', 'set-cookie', 'password', 'secret', 'idempotencyKey', 'idempotency-key'];

/** Patterns of secrets inside texts, such as a header quoted in an error message. */
const secretTexts = [/Bearer +\S+/giv, /(?<=:\/\/)[^\s\/@:]+:[^\s\/@]+(?=@)/gv];

/** A line as passed to tslog. */
type Line = {readonly message: string; readonly [field: string]: unknown};

/** The root logger of a process and its level. */
export class Logging implements LogControl {
	readonly logger: Logger;
	private _level: LogLevel;
	private readonly _sink: TslogLogger<Line>;

	/** `write` receives complete lines, including the line end; standard output by default. */
	constructor(settings: Settings['log'], fields: LogFields = {}, write: (text: string) => void = text => process.stdout.write(text)) {
		this._level = settings.level;
		this._sink = new TslogLogger<Line>({
			type: settings.format,
			minLevel: 0,
			// Determining the position in the source requires a stack trace for each line.
			hideLogPositionForProduction: true,
			maskValuesOfKeys: secretFields,
			maskValuesOfKeysCaseInsensitive: true,
			maskValuesRegEx: secretTexts,
			maskPlaceholder: '(masked)',
			prettyLogTemplate: '{{dateIsoStr}} {{logLevelName}} ',
			stylePrettyLogs: false,
			overwrite: {
				transportJSON(line) {
					write(`${JSON.stringify(isObject(line) ? flatten(line) : line)}\n`);
				},
				transportFormatted(markup, values) {
					write(`${markup}${values.map(value => isObject(value) ? describeLine(value) : String(value)).join(' ')}\n`);
				},
			},
		});
		this.logger = new FieldLogger(this, fields);
	}

	level(): LogLevel {
		return this._level;
	}

	setLevel(level: LogLevel): void {
		this._level = level;
	}

	isEnabled(level: LogLevel): boolean {
		return levelNumbers[level] >= levelNumbers[this._level];
	}

	/** Writes one line if its level is enabled. */
	write(level: LogLevel, line: Line): void {
		if (this.isEnabled(level)) {
			this._sink.log(levelNumbers[level], level.toUpperCase(), line);
		}
	}
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
	return typeof value === 'object' && value !== null;
}

/** Replaces tslog's metadata by time and level, placed before the fields. */
function flatten(line: Readonly<Record<string, unknown>>): Record<string, unknown> {
	const {_meta: meta, ...fields} = line;
	const {date, logLevelName} = isObject(meta) ? meta : {};
	return {time: date, level: String(logLevelName).toLowerCase(), ...fields};
}

/** Formats a line for people: the message, then `name=value` for each field. */
function describeLine(line: Readonly<Record<string, unknown>>): string {
	const {message, _meta: _unused, ...fields} = line;
	const pairs = Object.entries(fields).map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [message, ...pairs].join(' ');
}

/** A logger that adds fixed fields to each line. */
class FieldLogger implements Logger {
	private readonly _logging: Logging;
	private readonly _fields: LogFields;

	constructor(logging: Logging, fields: LogFields) {
		this._logging = logging;
		this._fields = fields;
	}

	trace(message: string, fields?: LogFields): void {
		this._write('trace', message, fields);
	}

	debug(message: string, fields?: LogFields): void {
		this._write('debug', message, fields);
	}

	info(message: string, fields?: LogFields): void {
		this._write('info', message, fields);
	}

	warn(message: string, fields?: LogFields): void {
		this._write('warn', message, fields);
	}

	error(message: string, fields?: LogFields): void {
		this._write('error', message, fields);
	}

	with(fields: LogFields): Logger {
		return new FieldLogger(this._logging, {...this._fields, ...fields});
	}

	isEnabled(level: LogLevel): boolean {
		return this._logging.isEnabled(level);
	}

	private _write(level: LogLevel, message: string, fields: LogFields | undefined): void {
		if (this._logging.isEnabled(level)) {
			this._logging.write(level, {message, ...this._fields, ...fields});
		}
	}
}
