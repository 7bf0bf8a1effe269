#!/usr/bin/env node
import { SystemTimerService } from '../common/timer/index.js';
import { ProcessTerminal } from './processTerminal.js';
import { runProgram } from './program.js';

const terminal = new ProcessTerminal();
process.exitCode = await runProgram(process.argv.slice(2), terminal, new SystemTimerService());
