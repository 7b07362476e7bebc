. tests/emulator/helpers-fail.sh
