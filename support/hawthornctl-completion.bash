# Bash completion of hawthornctl: source support/hawthornctl-completion.bash
# hawthornctl lists the names of services, targets and balancers for completion.
# It needs HAWTHORNCTL_PLATFORM and HAWTHORNCTL_BALANCERS in the environment;
# without them only subcommands, options and files are completed.

_hawthornctl_list_names() {
  # Runs hawthornctl and prints the first column of its table without the header.
  timeout 2 hawthornctl "$@" 2>/dev/null | awk 'NR > 1 { print $1 }'
}

_hawthornctl() {
  local word=${COMP_WORDS[COMP_CWORD]}
  local group=${COMP_WORDS[1]:-}
  local verb=${COMP_WORDS[2]:-}
  local words=""
  COMPREPLY=()
  if [ "$COMP_CWORD" -eq 1 ]; then
    words="sheet service target balancer plan status watch metrics explain --help --version"
  elif [ "$COMP_CWORD" -eq 2 ] && [[ $word != --* ]]; then
    case $group in
      explain) mapfile -t COMPREPLY < <(compgen -d -- "$word") && return ;;
      sheet) words="check diff import" ;;
      service) words="list show set" ;;
      target) words="list drain undrain" ;;
      balancer) words="list stop resume" ;;
      plan) words="show" ;;
    esac
  elif [[ $word == --* ]]; then
    words="--platform --region --balancer --json --help"
    case "$group $verb" in
      "sheet check") words="--json --help" ;;
      explain*) words="--flow --request --opening --from --to --window --json --help" ;;
      "sheet import" | "service set" | target*drain | "balancer stop" | \
        "balancer resume")
        words+=" --dry-run --wait --wait-limit-s --author --operation" ;;
      "plan show") words+=" --date" ;;
      status*) words+=" --agent" ;;
      watch*) words+=" --agent --for" ;;
    esac
    case "$group $verb" in
      "target drain" | "balancer stop") words+=" --unchecked" ;;
    esac
    case "$group $verb" in
      "sheet import" | "service set") words+=" --allow-drop --allow-shrink" ;;
    esac
  else
    case "$group $verb" in
      sheet*) mapfile -t COMPREPLY < <(compgen -f -- "$word") && return ;;
      explain*) mapfile -t COMPREPLY < <(compgen -d -- "$word") && return ;;
      "service show" | "service set" | "plan show")
        words=$(_hawthornctl_list_names service list) ;;
      target*drain) words=$(_hawthornctl_list_names target list) ;;
      balancer*) words=$(_hawthornctl_list_names balancer list) ;;
    esac
  fi
  mapfile -t COMPREPLY < <(compgen -W "$words" -- "$word")
}

complete -F _hawthornctl hawthornctl
